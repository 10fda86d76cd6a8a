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

// UnmarshalJSON implements json.Unmarshaler.
func (b *callBody) UnmarshalJSON(data []byte) error {
	type plain callBody
	if err := json.Unmarshal(data, (*plain)(b)); err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, target := range map[string]any{names.Due: &b.Due, names.Token: &b.Fence} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, target); err != nil {
				return err
			}
		}
	}
	return nil
}
