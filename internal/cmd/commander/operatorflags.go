package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"verbenareach/internal/operator/requester"
)

// operatorFlags are the flags of every command that calls the operators' API.
type operatorFlags struct {
	addresses []string
	keyFile   string
	key       string
	operator  string
	asJSON    bool
}

// addOperatorFlags adds the operator flags to a command.
func addOperatorFlags(cmd *kingpin.CmdClause) *operatorFlags {
	f := &operatorFlags{}
	cmd.Flag("control", "Operators' address of a control host, IP number and port; repeat it for each host.").
		Envar("VERBENAREACH_CONTROL").Required().StringsVar(&f.addresses)
	cmd.Flag("key-file", "File that holds the operator key.").ExistingFileVar(&f.keyFile)
	cmd.Flag("key", "The operator key; prefer the environment variable or a file.").
		Envar("VERBENAREACH_OPERATOR_KEY").Hidden().StringVar(&f.key)
	cmd.Flag("operator", "Name under which changes are recorded; the login name by default.").
		Envar("VERBENAREACH_OPERATOR").StringVar(&f.operator)
	cmd.Flag("json", "Print JSON.").BoolVar(&f.asJSON)
	return f
}

// requester returns the API client for the flags.
func (f *operatorFlags) requester() (*requester.Requester, error) {
	key := f.key
	if f.keyFile != "" {
		data, err := os.ReadFile(f.keyFile)
		if err != nil {
			return nil, eris.Wrap(err, "operator key")
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		err := errors.New("the operator key is missing: give --key-file FILE or set VERBENAREACH_OPERATOR_KEY")
		return nil, &exitError{code: exitUsage, err: err}
	}
	operator := f.operator
	if operator == "" {
		operator = loginName()
	}
	var addresses []string
	for _, list := range f.addresses {
		addresses = append(addresses, strings.FieldsFunc(list, func(r rune) bool { return r == ',' || r == ' ' || r == '\n' })...)
	}
	return &requester.Requester{Addresses: addresses, Key: key, Operator: operator}, nil
}

func loginName() string {
	u, err := user.Current()
	if err != nil {
		return "unnamed"
	}
	return u.Username
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// formatTime formats a time in Unix nanoseconds as UTC.
func formatTime(nanos int64) string {
	return time.Unix(0, nanos).UTC().Format("2006-01-02 15:04:05Z")
}

// plural formats a count with its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
