package forwarder

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"verbenareach/internal/fleet/receiver"
	"verbenareach/internal/fleet/sender"
)

// localFields returns the header fields of a response that this host makes itself.
func (f *Forwarder) localFields(x *exchange) []receiver.Field {
	fields := []receiver.Field{{Name: "Content-Type", Value: "text/plain"}}
	if x.givenID != "" {
		fields = append(fields, receiver.Field{Name: f.Dialect.RequestID, Value: x.givenID})
	}
	return fields
}

// backendRequest returns the request as it is sent to the backend server with the given id, the
// only one that may run it. It omits the fields that concern the client's connection and those
// that clients may not set, and adds extra.
func (f *Forwarder) backendRequest(x *exchange, now time.Time, backendID string, extra ...sender.Field) sender.Request {
	out := sender.Request{
		Method: x.r.Method, Target: x.r.Target, Host: x.r.Get("Host"), Body: x.r.Body, Echo: f.Dialect.RequestID, ID: x.givenID,
	}
	connectionFields := listItems(strings.ToLower(x.r.Get("Connection")))
	for _, field := range x.r.Fields {
		name := strings.ToLower(field.Name)
		if hopByHop[name] || f.Dialect.reserved(name) || slices.Contains(connectionFields, name) {
			continue
		}
		if name == "authorization" && x.workspace != "" {
			// The key was checked here; the backend server gets the workspace instead.
			continue
		}
		out.Fields = append(out.Fields, sender.Field{Name: field.Name, Value: field.Value})
	}
	remainingMS := strconv.FormatInt(max(x.deadline.Sub(now).Milliseconds(), 1), 10)
	out.Fields = append(out.Fields, sender.Field{Name: f.Dialect.Deadline, Value: remainingMS},
		sender.Field{Name: f.Dialect.Expect, Value: backendID})
	if x.workspace != "" {
		out.Fields = append(out.Fields, sender.Field{Name: f.Dialect.Workspace, Value: x.workspace})
	}
	out.Fields = append(out.Fields, extra...)
	return out
}

// listItems returns the items of a header field whose value is a list.
func listItems(value string) []string {
	items := strings.Split(value, ",")
	for i, item := range items {
		items[i] = strings.TrimSpace(item)
	}
	return items
}

// clientFields returns the header fields of a backend server's response that are passed to
// the client.
func clientFields(header http.Header) []receiver.Field {
	fields := make([]receiver.Field, 0, len(header))
	for name, values := range header {
		if hopByHop[strings.ToLower(name)] {
			continue
		}
		for _, v := range values {
			fields = append(fields, receiver.Field{Name: name, Value: v})
		}
	}
	return fields
}
