package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"text/template"
)

// names holds the header field names and the variable of the users' platform.
type names struct {
	SettingsVariable string `json:"settingsVariable"`
	RequestID        string `json:"requestId"`
	Expect           string `json:"expect"`
	Signature        string `json:"signature"`
	NotRun           string `json:"notRun"`
	Workspace        string `json:"workspace"`
	Deadline         string `json:"deadline"`
	Model            string `json:"model"`
	Usage            string `json:"usage"`
	Prefix           string `json:"prefix"`
	LengthHint       string `json:"lengthHint"`
	Continue         string `json:"continue"`
	LastEvent        string `json:"lastEvent"`
	Backup           string `json:"backup"`
	// MoveCall and ReportCall are the paths of calls to engines; MoveRun, MoveTo and MoveLast are fields of the
	// body of the first.
	MoveCall   string `json:"moveCall"`
	ReportCall string `json:"reportCall"`
	MoveRun    string `json:"moveRun"`
	MoveTo     string `json:"moveTo"`
	MoveLast   string `json:"moveLast"`
	// Split is the field of a route that divides its requests between services.
	Split string `json:"split"`
}

//go:embed data
var dataFiles embed.FS

// fields holds the names read from data/names.json.
var fields = mustReadNames()

func mustReadNames() names {
	var n names
	data, err := dataFiles.ReadFile("data/names.json")
	if err == nil {
		err = json.Unmarshal(data, &n)
	}
	if err != nil {
		panic(err)
	}
	return n
}

// render fills in a template of the folder data.
func render(name string, values any) string {
	asJSON := func(v any) (string, error) {
		data, err := json.Marshal(v)
		return string(data), err
	}
	t := template.Must(template.New(name).Funcs(template.FuncMap{"json": asJSON}).ParseFS(dataFiles, "data/"+name))
	var out bytes.Buffer
	if err := t.ExecuteTemplate(&out, name, values); err != nil {
		panic(fmt.Sprintf("template %s: %v", name, err))
	}
	return out.String()
}
