package verbs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/platform/rows"
	"tarragonvalve.example/tarragonvalve/check"
	"tarragonvalve.example/tarragonvalve/client"
	"tarragonvalve.example/tarragonvalve/text"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// maxConfigBytes limits what is read of a configuration: the store sends at most 1 MB of
// data, and an environment document is shorter.
const maxConfigBytes = 1 << 20

// check checks a configuration without an entry. All errors other than findings are usage
// errors, so that exit code 2 means that the check could not run.
func (c *command) check(ctx context.Context) error {
	a := c.Check
	if a.Output != outputText && a.Output != outputJSON {
		return &usageError{message: fmt.Sprintf("--output must be %s or %s", outputText, outputJSON)}
	}
	if a.File == "-" && a.Against == "-" {
		return &usageError{message: "only one of FILE and --against can be standard input"}
	}
	r, err := c.checkFile(ctx)
	if err != nil {
		return &usageError{message: err.Error()}
	}
	c.JSON = c.JSON || a.Output == outputJSON
	if err := printReply(c, r, text.Check); err != nil {
		return err
	}
	if r.Failed() {
		return &exitError{code: exitRefused}
	}
	return nil
}

// checkFile returns the report on the file. A file that is invalid is not compared.
func (c *command) checkFile(ctx context.Context) (*check.Report, error) {
	b, err := c.readConfig(c.Check.File)
	if err != nil {
		return nil, err
	}
	o, invalid := decodeConfig(c.Check.File, b)
	if invalid != nil {
		return invalid, nil
	}
	var before check.Config
	if c.Check.Against != "" {
		before, err = c.inForce(ctx, o)
		if err != nil {
			return nil, err
		}
	}
	return check.Run(o, before)
}

// isRouting reports whether a text is a routers' configuration, which is a JSON object. An
// environment document begins with a section or a comment.
func isRouting(b []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(b, " \t\r\n"), []byte("{"))
}

// decodeConfig decodes a configuration of either form as entries and routers do. For one
// that they refuse it returns the report on its faults.
func decodeConfig(file string, b []byte) (check.Config, *check.Report) {
	if !isRouting(b) {
		e, err := check.ParseEnvironment(file, b)
		if err != nil {
			return nil, check.Problems(file, err)
		}
		return e, nil
	}
	d, err := rows.DecodeConfig(b)
	if err != nil {
		return nil, check.Invalid(file, rows.ErrorLine(b, err), err)
	}
	return check.NewRouting(file, d, rows.OutlineOf(b)), nil
}

// inForce returns the version in force, from a file or from the URL of its source: an entry
// for documents, the store for routers' configurations.
func (c *command) inForce(ctx context.Context, o check.Config) (check.Config, error) {
	a := c.Check.Against
	if !strings.HasPrefix(a, "http://") && !strings.HasPrefix(a, "https://") {
		b, err := c.readConfig(a)
		if err != nil {
			return nil, err
		}
		return decodeInForce(a, b)
	}
	if _, ok := o.(*check.Routing); ok {
		return c.inForceAtStore(ctx, a)
	}
	return c.inForceAtEntry(ctx, a)
}

func decodeInForce(file string, b []byte) (check.Config, error) {
	o, invalid := decodeConfig(file, b)
	if invalid != nil {
		return nil, fmt.Errorf("the version in force is not valid: %s", invalid.Findings[0])
	}
	return o, nil
}

// inForceAtEntry reads the document that an entry has in force, and the latest generation.
func (c *command) inForceAtEntry(ctx context.Context, address string) (check.Config, error) {
	c.API = address
	if err := c.configureClient(); err != nil {
		return nil, err
	}
	r, err := client.Get[opsapi.DocumentReply](ctx, c.api, "/document", nil)
	if err != nil {
		return nil, fmt.Errorf("read the document in force: %w", err)
	}
	s, err := getStatus(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("read the latest generation: %w", err)
	}
	o, err := decodeInForce(address, []byte(r.Body))
	if e, ok := o.(*check.Environment); ok {
		e.SetLatest(max(s.Latest, r.Generation.Generation))
	}
	return o, err
}

// inForceAtStore reads the routers' configuration in the store. The store speaks HTTP only.
func (c *command) inForceAtStore(ctx context.Context, address string) (check.Config, error) {
	u, err := url.Parse(address)
	if err != nil || u.Scheme != "http" || u.Host == "" || strings.Trim(u.Path, "/") != "" {
		return nil, fmt.Errorf("address %q: want the store's http://IP:PORT", address)
	}
	if !c.Unencrypted {
		return nil, fmt.Errorf("address %q: unencrypted connections need --unencrypted", address)
	}
	if err := c.checkTimeout(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	b, err := rows.New(u.Host).Config(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the configuration in force: %w", err)
	}
	return decodeInForce(address, b)
}

// readConfig returns the text of a file, or of standard input for "-".
func (c *command) readConfig(file string) ([]byte, error) {
	r := c.in
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("read the configuration: %w", err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	b, err := inlet.ReadAll(r, file, maxConfigBytes)
	var long *inlet.TooLongError
	switch {
	case errors.As(err, &long):
		return nil, fmt.Errorf("read the configuration: %s has more than %d bytes", file, long.Limit)
	case err != nil:
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	return b, nil
}
