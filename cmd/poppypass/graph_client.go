package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/runner"
)

// graphAPI sends the requests of a command to the API for graphs.
type graphAPI struct {
	client
	team string
}

func (a *graphAPI) addFlags(command *cobra.Command) {
	a.client.addFlags(command)
	command.Flags().StringVar(&a.team, "team", "", "the team whose graphs are meant")
}

// path returns the path of an API request with its query parameters, including the team.
func (a *graphAPI) path(params url.Values, parts ...string) (string, error) {
	if a.team == "" {
		return "", errors.New("name a team with --team")
	}
	escaped := make([]string, len(parts))
	for i, p := range parts {
		escaped[i] = url.PathEscape(p)
	}
	if params == nil {
		params = url.Values{}
	}
	params.Set("team", a.team)
	return airflow.PathAPI + "/" + strings.Join(escaped, "/") + "?" + params.Encode(), nil
}

// request calls the API and decodes the JSON of the response into out, if that is not nil.
func (a *graphAPI) request(ctx context.Context, method string, in, out any, params url.Values, parts ...string) error {
	path, err := a.path(params, parts...)
	if err != nil {
		return err
	}
	if method == http.MethodDelete {
		return a.send(ctx, method, path, nil)
	}
	raw, err := a.call(ctx, method, path, in)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// read sends a GET request to the API and decodes the JSON of the response into out.
func (a *graphAPI) read(ctx context.Context, out any, parts ...string) error {
	return a.request(ctx, http.MethodGet, nil, out, nil, parts...)
}

// listAll reads all pages of a list. name is the field of the response that contains the items.
func listAll[T any](ctx context.Context, api *graphAPI, name string, params url.Values, parts ...string) ([]T, error) {
	var all []T
	for {
		pageParams := url.Values{"offset": {strconv.Itoa(len(all))}}
		for k, v := range params {
			pageParams[k] = v
		}
		var page map[string]json.RawMessage
		if err := api.request(ctx, http.MethodGet, nil, &page, pageParams, parts...); err != nil {
			return nil, err
		}
		var items []T
		var total int
		if err := errors.Join(json.Unmarshal(page[name], &items), json.Unmarshal(page["total_entries"], &total)); err != nil {
			return nil, fmt.Errorf("malformed response: %w", err)
		}
		if all = append(all, items...); len(items) == 0 || len(all) >= total {
			return all, nil
		}
	}
}

// register uploads a graph and registers it. A graph that exceeds the size of a request is uploaded in several
// parts. If paused is nil, the paused state of a graph that is already registered does not change.
func (a *graphAPI) register(ctx context.Context, plan *dag.Plan, paused *bool) error {
	codec, err := charge.NewCodec()
	if err != nil {
		return err
	}
	hash, parts, err := runner.Pack(codec, &plan.Graph)
	if err != nil {
		return err
	}
	body := map[string]any{"definition": hash, "parts": len(parts)}
	if paused != nil {
		body["is_paused"] = *paused
	}
	// A concurrent registration of the same definition that found a part damaged may delete the parts that were
	// just uploaded. Uploading them once more repairs that.
	for attempt := 0; ; attempt++ {
		if err := a.upload(ctx, hash, parts); err != nil {
			return err
		}
		err := a.request(ctx, http.MethodPut, body, nil, nil, "dags", plan.ID)
		if err == nil || attempt == 1 {
			return err
		}
	}
}

// upload uploads the parts of a graph definition.
func (a *graphAPI) upload(ctx context.Context, hash string, parts [][]byte) error {
	for i, part := range parts {
		path, err := a.path(url.Values{"of": {strconv.Itoa(len(parts))}}, "definitions", hash, strconv.Itoa(i))
		if err != nil {
			return err
		}
		if err := a.send(ctx, http.MethodPut, path, part); err != nil {
			return err
		}
	}
	return nil
}
