package tracer

import (
	"fmt"
	"slices"
)

// check validates the trace as a whole and returns the findings.
func (t Trace) check() []string {
	var findings []string
	if t.Trace == "" {
		findings = append(findings, "line 1: /trace: say in a few words what the trace is of")
	}
	if len(t.System.Entries) == 0 {
		findings = append(findings, "line 1: /system/entries: name at least one entry")
	}
	if len(t.Steps) == 0 {
		findings = append(findings, "the trace has no steps")
	}
	names := make(map[string]bool)
	var before Step
	for _, s := range t.Steps {
		add := func(format string, args ...any) {
			findings = append(findings, fmt.Sprintf("line %d: ", s.Line)+fmt.Sprintf(format, args...))
		}
		if s.At < before.At {
			add("/at: is before the line above")
		}
		before = s
		if name := s.name(); name != "" && names[name] {
			add("/name: %q is there twice", name)
		} else {
			names[name] = true
		}
		t.checkStep(s, add)
	}
	return findings
}

func (t Trace) checkStep(s Step, add func(format string, args ...any)) {
	parts := 0
	if s.Generate != nil {
		parts++
		t.checkGenerate(*s.Generate, add)
	}
	if s.Call != nil {
		parts++
		t.checkCall(*s.Call, add)
	}
	if s.Fault != nil {
		parts++
		t.checkFault(*s.Fault, add)
	}
	if s.Mark != nil {
		parts++
		if !hasPlace(t.System.Engines, s.Mark.Server) && !hasPlace(t.System.Services, s.Mark.Server) {
			add("/mark/server: no backend server %q in the first line", s.Mark.Server)
		}
	}
	if s.Stop != nil {
		parts++
		if !hasPlace(t.System.Entries, s.Stop.Process) {
			add("/stop/process: no entry %q in the first line", s.Stop.Process)
		}
	}
	if parts != 1 {
		add("has %d of generate, call, fault, mark and stop, must have one", parts)
	}
}

func (t Trace) checkCall(c Call, add func(format string, args ...any)) {
	if !nameForm.MatchString(c.Name) {
		add("/call/name: %q is not a name", c.Name)
	}
	t.checkWorkspace("/call", c.Workspace, add)
	if c.Method == "" || c.Path == "" {
		add("/call: needs a method and a path")
	}
	if c.Sends < 0 || c.GiveUpAfter < 0 {
		add("/call: sends and giveUpAfter can't be negative")
	}
	if len(t.System.Services) == 0 || t.System.Service == "" {
		add("/call: the first line names no service")
	}
}

func (t Trace) checkFault(f Fault, add func(format string, args ...any)) {
	if !slices.Contains(faultKinds, f.Kind) {
		add("/fault/kind: must be one of %v, not %q", faultKinds, f.Kind)
		return
	}
	places := t.System.Engines
	if f.Kind == FaultLoseReply {
		places = t.System.Services
	}
	if !hasPlace(places, f.Server) {
		add("/fault/server: no backend server %q in the first line that can %s", f.Server, f.Kind)
	}
	if f.Kind == FaultStall && f.For <= 0 {
		add("/fault/for: a stall needs a length, such as \"3s\"")
	}
}

func (t Trace) checkGenerate(g Generate, add func(format string, args ...any)) {
	if !nameForm.MatchString(g.Name) {
		add("/generate/name: %q is not a name", g.Name)
	}
	t.checkWorkspace("/generate", g.Workspace, add)
	if c, ok := t.Contracts[g.Workspace]; ok {
		if _, ok := c.ModelRight(g.Model); !ok {
			add("/generate/model: the contract of %s has no model %q", g.Workspace, g.Model)
		}
	}
	if g.PromptTokens < 1 || g.PromptTokens > lengthLimit || g.PrefixTokens < 0 || g.PrefixTokens > g.PromptTokens {
		add("/generate: promptTokens must be 1 to %d, prefixTokens at most as many", lengthLimit)
	}
	if g.PrefixTokens > 0 && !nameForm.MatchString(g.Prefix) {
		add("/generate/prefix: %q is not a name", g.Prefix)
	}
	if g.Length < 1 || g.Length > lengthLimit {
		add("/generate/length: must be 1 to %d", lengthLimit)
	}
	if g.VanishAfter < 0 || g.VanishAfter >= g.Length || g.VanishAfter > 0 && g.Whole {
		add("/generate/vanishAfter: must be less than the length, and the answer a stream")
	}
}

func (t Trace) checkWorkspace(part, workspace string, add func(format string, args ...any)) {
	if _, ok := t.Contracts[workspace]; !ok {
		add("%s/workspace: no contract of %q among those of the first line", part, workspace)
	}
	if t.Keys[workspace] == "" {
		add("%s/workspace: no key of %q in the first line", part, workspace)
	}
}

// name returns the name of a request; empty for other steps.
func (s Step) name() string {
	switch {
	case s.Generate != nil:
		return s.Generate.Name
	case s.Call != nil:
		return s.Call.Name
	}
	return ""
}

func hasPlace(places []Place, name string) bool {
	return slices.ContainsFunc(places, func(p Place) bool { return p.Name == name })
}
