// Package parser parses and validates the settings file of a process.
package parser

import (
	"os"

	"verbenareach/internal/control/registrar"
)

type (
	// Settings are all settings of one process. Of Entry, Agent and Control, only the
	// block of its role is set. Each field has a rule in Fields, with its default.
	Settings struct {
		// Role is entry, agent or control.
		Role string `json:"role"`
		// Name is unique among processes of all roles.
		Name          string `json:"name"`
		FailureDomain string `json:"failureDomain"`
		Region        string `json:"region"`
		// LogLevel is debug, info, warn or error.
		LogLevel string `json:"logLevel,omitempty"`
		// MetricsListen is the IP number and port for /metrics; empty serves none.
		MetricsListen string   `json:"metricsListen,omitempty"`
		Entry         *Entry   `json:"entry,omitempty"`
		Agent         *Agent   `json:"agent,omitempty"`
		Control       *Control `json:"control,omitempty"`
	}

	// Entry are the settings of an entry.
	Entry struct {
		// Listen is the IP number and port for callers' HTTP.
		Listen string `json:"listen"`
		// PeerListen is the IP number and port for other processes.
		PeerListen string `json:"peerListen"`
		// Control are the drpc addresses of the control hosts.
		Control []string `json:"control"`
		// MaxBodyBytes bounds a request's body.
		MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
		// RequestTimeout is how long a request may wait for admission.
		RequestTimeout Duration `json:"requestTimeout,omitempty"`
		// StallTimeout is how long a link to an agent may be silent before it counts as
		// stalled.
		StallTimeout Duration `json:"stallTimeout,omitempty"`
		// ResumeTimeout bounds the search for a backend server that resumes a generation.
		ResumeTimeout Duration `json:"resumeTimeout,omitempty"`
		// StopNotice is how long the health check fails before a planned stop closes the
		// listener.
		StopNotice Duration `json:"stopNotice,omitempty"`
	}

	// Agent are the settings of an agent.
	Agent struct {
		// Listen is the IP number and port for entries and control hosts.
		Listen string `json:"listen"`
		// AnnounceListen is the IP number and port at which the backend server announces itself.
		AnnounceListen string   `json:"announceListen"`
		Control        []string `json:"control"`
		// ResumeGrace is how long a generation keeps running without a reader.
		ResumeGrace Duration `json:"resumeGrace,omitempty"`
		// KeepEnded is how long an ended generation is kept for its caller.
		KeepEnded Duration `json:"keepEnded,omitempty"`
	}

	// Control are the settings of a control host.
	Control struct {
		// Listen is the IP number and port for other processes.
		Listen string `json:"listen"`
		// OperatorListen is the IP number and port for operators' HTTP.
		OperatorListen string `json:"operatorListen"`
		// DataFolder holds all files of the process.
		DataFolder string `json:"dataFolder"`
		// OperatorKeySHA256 is the hash of the operators' key, in lower-case hex.
		OperatorKeySHA256 string `json:"operatorKeySHA256"`
		// Peers are all control hosts at first start, this one included.
		Peers []Peer `json:"peers"`
	}

	// Peer is one control host.
	Peer struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}

	// Duration is a time.Duration written as a string such as "250ms", as in contracts.
	Duration = registrar.Duration
)

// ParseFile parses and validates the settings file at path. Its error is a
// *FindingsError that holds all findings of the file.
func ParseFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &FindingsError{File: path, Findings: []Finding{{Problem: "cannot be read: " + err.Error()}}}
	}
	return Parse(path, data)
}

// Parse parses and validates the text of a settings file; file is the name used in
// its error, a *FindingsError. Missing fields get their defaults.
func Parse(file string, data []byte) (Settings, error) {
	root, findings := readTree(data)
	if root == nil {
		return Settings{}, &FindingsError{File: file, Findings: findings}
	}
	findings = append(findings, checkTree(root)...)
	var s Settings
	if len(findings) == 0 {
		fillDefaults(root)
		if err := decodeTree(root, &s); err != nil {
			findings = append(findings, Finding{Problem: err.Error()})
		}
	}
	if len(findings) == 0 {
		findings = checkRules(s)
	}
	if len(findings) > 0 {
		return Settings{}, &FindingsError{File: file, Findings: findings}
	}
	return s, nil
}
