package main

import (
	"bytes"
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
	DeadlineHeader   string `json:"deadline_header"`
	ExpectedHeader   string `json:"expected_header"`
	InstanceHeader   string `json:"instance_header"`
	SettingsVariable string `json:"settings_variable"`
	LeaseEnd         string `json:"lease_end"`
	Token            string `json:"token"`
	Guards           string `json:"guards"`
}

func loadNames() (n platformNames) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}

// renameFields replaces the platform's names of two fields in a body by those of endpointCall.
func renameFields(body []byte) []byte {
	quoted := func(s string) []byte { return []byte(`"` + s + `":`) }
	body = bytes.ReplaceAll(body, quoted(names.LeaseEnd), quoted("lease_end"))
	return bytes.ReplaceAll(body, quoted(names.Token), quoted("token"))
}
