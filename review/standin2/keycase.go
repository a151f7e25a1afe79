package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// requestsBefore and requestsAfter are the numbers of requests sent before and after the change.
	requestsBefore = 20
	requestsAfter  = 20
	// changedVersion is the version of the changed configuration.
	changedVersion = 9
	// openPrefix is the prefix of the route that the change adds.
	openPrefix = "/swap/board/"
	// callWithin is how long the client waits for a call.
	callWithin = 4 * time.Second
)

// keyCase has a client send calls with its key, while the operator adds a public route with a longer prefix to which
// they belong from then on. No server may get the key.
func keyCase(c *caseRun) (broken string, err error) {
	if err := c.fleet.start(); err != nil {
		return "", err
	}
	for range 3 {
		address, err := freeAddress()
		if err != nil {
			return "", err
		}
		if _, _, err := c.fleet.startServer("rota", address); err != nil {
			return "", err
		}
	}
	time.Sleep(knownTime)
	for i := range requestsBefore {
		if err := c.sendSwap(i); err != nil {
			return "", err
		}
	}
	if c.trouble {
		text, err := withOpenRoute(configurationText)
		if err != nil {
			return "", err
		}
		if err := c.fleet.configure(text); err != nil {
			return "", err
		}
	}
	for i := range requestsAfter {
		if err := c.sendSwap(requestsBefore + i); err != nil {
			return "", err
		}
	}
	return c.judgeKeys()
}

// withOpenRoute returns the configuration with a higher version and the public route.
func withOpenRoute(text []byte) ([]byte, error) {
	var configuration map[string]any
	if err := json.Unmarshal(text, &configuration); err != nil {
		return nil, err
	}
	configuration["version"] = changedVersion
	configuration["routes"] = append(configuration["routes"].([]any), map[string]any{
		"name": "r-board", "host": hostName, "path-prefix": openPrefix, "kind": "unsafe", "timeout-ms": 2000, "target-latency-ms": 300,
		"priority": 2, "service": "rota", "max-attempts": 1, "public": true, "sticky": false, "resumable": false,
	})
	return json.Marshal(configuration)
}

// sendSwap sends one call with the client's key, to one host after the other.
func (c *caseRun) sendSwap(i int) error {
	r := request{
		id: fmt.Sprintf("7f35e82441b5%04x", i), method: http.MethodPost, path: fmt.Sprintf("%s%d", openPrefix, i), key: apiKey, body: "swap a duty\n",
		within: callWithin,
	}
	resp, err := c.send(c.fleet.hosts[i%len(c.fleet.hosts)], r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.record.add("client's answer", "request", r.id, "status", resp.StatusCode, "body", strings.TrimSpace(string(body)))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("request %s: status %d", r.id, resp.StatusCode)
	}
	return resp.Body.Close()
}

// judgeKeys checks what the servers got.
func (c *caseRun) judgeKeys() (broken string, err error) {
	entries, err := c.record.entries()
	if err != nil {
		return "", err
	}
	runs, withKey := 0, 0
	for _, e := range entries {
		if e.What != "runs" {
			continue
		}
		runs++
		if strings.Contains(e.Fields["authorization"], apiKey) {
			withKey++
		}
	}
	if runs != requestsBefore+requestsAfter {
		return "", fmt.Errorf("%d of %d requests ran", runs, requestsBefore+requestsAfter)
	}
	if withKey > 0 {
		broken = fmt.Sprintf("the client's key was passed on to servers with %d of %d requests", withKey, runs)
	}
	return broken, nil
}
