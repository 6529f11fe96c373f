package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/operator"
)

const operatorTimeout = 40 * time.Second

// operatorClient is a client of the operator interface of one VM.
type operatorClient struct {
	address *string
	key     *string
}

// operatorFlags declares the flags for the address of a VM and the operator's key.
func operatorFlags(c *kingpin.CmdClause) operatorClient {
	o := operatorClient{address: addressFlag(c)}
	o.key = keyFlag(c).Required().String()
	return o
}

// operatorFlagsWithOptionalKey is operatorFlags for a command that also works
// without a VM.
func operatorFlagsWithOptionalKey(c *kingpin.CmdClause) operatorClient {
	return operatorClient{address: addressFlag(c), key: keyFlag(c).String()}
}

func addressFlag(c *kingpin.CmdClause) *string {
	return c.Flag("operator", "URL of the operator interface of any VM.").Default("http://127.0.0.1:7003").
		Envar("PIMENTOHINGE_OPERATOR").String()
}

func keyFlag(c *kingpin.CmdClause) *kingpin.FlagClause {
	return c.Flag("key", "Bearer key of an operator.").Envar("PIMENTOHINGE_KEY")
}

// call sends a request. It returns the error message if the response holds one, and
// decodes the response into out otherwise. It ignores the HTTP status, because the
// response to a rejected release note has an error status but is a result.
func (o operatorClient) call(method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(*o.address, "/")+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+*o.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "send request to VM")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	var errorBody operator.ErrorBody
	if json.Unmarshal(data, &errorBody) == nil && errorBody.Error != "" {
		return eris.New(errorBody.Error)
	}
	return eris.Wrap(json.Unmarshal(data, out), "decode response")
}

func (o operatorClient) get(path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return o.call(http.MethodGet, path, nil, out)
}

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func formatFlag(c *kingpin.CmdClause) *string {
	return c.Flag("format", "Output format: table or json.").Default(formatTable).Enum(formatTable, formatJSON)
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// printTable prints rows in aligned columns. The first row is the header.
func printTable(rows [][]string) error {
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}
