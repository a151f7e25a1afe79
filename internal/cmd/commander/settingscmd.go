package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"verbenareach/internal/config/parser"
)

// checkedFile is the result of settings check for one file.
type checkedFile struct {
	File     string           `json:"file"`
	OK       bool             `json:"ok"`
	Role     string           `json:"role,omitempty"`
	Name     string           `json:"name,omitempty"`
	Findings []parser.Finding `json:"findings,omitempty"`
}

func addSettings(app *kingpin.Application, run map[string]func() error, stdout io.Writer) {
	settings := app.Command("settings", "Work with settings files.")
	check := settings.Command("check", "Check settings files and print all findings, without starting anything.")
	asJSON := check.Flag("json", "Print JSON.").Bool()
	files := check.Arg("FILE", "Settings file.").Required().Strings()
	run[check.FullCommand()] = func() error {
		return checkSettings(stdout, *files, *asJSON)
	}
}

// checkSettings checks files and prints the findings.
func checkSettings(stdout io.Writer, files []string, asJSON bool) error {
	checked := make([]checkedFile, 0, len(files))
	wrong := 0
	for _, file := range files {
		c := checkFile(file)
		if !c.OK {
			wrong++
		}
		checked = append(checked, c)
	}
	if err := printChecked(stdout, checked, asJSON); err != nil {
		return err
	}
	if wrong > 0 {
		return &exitError{code: exitUsage, err: fmt.Errorf("%d of %d settings files have findings", wrong, len(files))}
	}
	return nil
}

func checkFile(file string) checkedFile {
	s, err := parser.ParseFile(file)
	if err == nil {
		return checkedFile{File: file, OK: true, Role: s.Role, Name: s.Name}
	}
	var findings *parser.FindingsError
	if errors.As(err, &findings) {
		return checkedFile{File: file, Findings: findings.Findings}
	}
	return checkedFile{File: file, Findings: []parser.Finding{{Problem: err.Error()}}}
}

func printChecked(stdout io.Writer, checked []checkedFile, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(checked)
	}
	for _, c := range checked {
		if c.OK {
			fmt.Fprintf(stdout, "ok     %s (%s %s)\n", c.File, c.Role, c.Name)
			continue
		}
		fmt.Fprintf(stdout, "wrong  %s\n", c.File)
		for _, f := range c.Findings {
			fmt.Fprintf(stdout, "       %s\n", f)
		}
	}
	return nil
}
