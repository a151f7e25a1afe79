package main

import (
	_ "embed"
	"encoding/json"
)

// names holds the names of the header fields and of the variable that the users' platform uses. They stand in a
// data file, as the repository's check wants.
var names = readNames()

//go:embed names.json
var namesText []byte

type fieldNames struct {
	ID, Deadline, Expected, NotRun, Signature, Workspace, Model, Tokens, Prompt, ProcessID, Settings string
}

// readNames reads the data file, which is part of the program.
func readNames() fieldNames {
	var n fieldNames
	if err := json.Unmarshal(namesText, &n); err != nil {
		panic(err)
	}
	return n
}
