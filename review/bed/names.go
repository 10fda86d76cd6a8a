package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the platform's names that the code of this project uses in its adapter only.
var names = loadNames()

type platformNames struct {
	Start            string `json:"start"`
	Stop             string `json:"stop"`
	Append           string `json:"append"`
	Read             string `json:"read"`
	ExpectedHeader   string `json:"expected_header"`
	InstanceHeader   string `json:"instance_header"`
	DeadlineHeader   string `json:"deadline_header"`
	SettingsVariable string `json:"settings_variable"`
	Due              string `json:"due"`
	Token            string `json:"token"`
	Guards           string `json:"guards"`
}

func loadNames() (n platformNames) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}
