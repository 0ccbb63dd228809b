package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"poppypass/internal/accounting/charge"
	"poppypass/internal/graphs/airflow"
	"poppypass/internal/graphs/dag"
	"poppypass/internal/graphs/dagview"
	"poppypass/internal/graphs/runner"
	"poppypass/internal/platform/httpjson"
	"poppypass/internal/platform/tuning"
)

// graphAPI is how a command reaches the API for graphs.
type graphAPI struct{ addr, team string }

func (a *graphAPI) flags(c *cobra.Command) {
	addrFlag(c, &a.addr)
	c.Flags().StringVar(&a.team, "team", "", "the team whose graphs are meant")
}

// path is a path of the API, with its parameters.
func (a *graphAPI) path(q url.Values, parts ...string) (string, error) {
	if a.team == "" {
		return "", errors.New("name a team with --team")
	}
	escaped := make([]string, len(parts))
	for i, p := range parts {
		escaped[i] = url.PathEscape(p)
	}
	if q == nil {
		q = url.Values{}
	}
	q.Set("team", a.team)
	return airflow.PathAPI + "/" + strings.Join(escaped, "/") + "?" + q.Encode(), nil
}

// call calls the API; out is nil if the answer does not matter.
func (a *graphAPI) call(cmd *cobra.Command, method string, in, out any, q url.Values, parts ...string) error {
	path, err := a.path(q, parts...)
	if err != nil {
		return err
	}
	if method == http.MethodDelete {
		return a.send(cmd, method, path, nil)
	}
	raw, err := askService(cmd, method, a.addr, path, in)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// send sends bytes, and takes an answer without a body.
func (a *graphAPI) send(cmd *cobra.Command, method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := httpjson.NewClient(1, 1, 0, clientTimeout).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.QueryResponseMax))
		if err != nil {
			return err
		}
		return refusal(resp.StatusCode, raw)
	}
	return nil
}

// list reads all pages of a list.
func list[T any](a *graphAPI, cmd *cobra.Command, name string, q url.Values, parts ...string) ([]T, error) {
	var all []T
	for {
		page := url.Values{"offset": {strconv.Itoa(len(all))}}
		for k, v := range q {
			page[k] = v
		}
		var got map[string]json.RawMessage
		if err := a.call(cmd, http.MethodGet, nil, &got, page, parts...); err != nil {
			return nil, err
		}
		var items []T
		var total int
		if err := errors.Join(json.Unmarshal(got[name], &items), json.Unmarshal(got["total_entries"], &total)); err != nil {
			return nil, fmt.Errorf("malformed answer: %w", err)
		}
		if all = append(all, items...); len(items) == 0 || len(all) >= total {
			return all, nil
		}
	}
}

// register uploads a graph, in parts if it is longer than a request may be, and registers it.
func (a *graphAPI) register(cmd *cobra.Command, p *dag.Plan, paused *bool) error {
	codec, err := charge.NewCodec()
	if err != nil {
		return err
	}
	hash, parts, err := runner.Pack(codec, &p.Graph)
	if err != nil {
		return err
	}
	body := map[string]any{"definition": hash, "parts": len(parts)}
	if paused != nil {
		body["is_paused"] = *paused
	}
	// A part that another registration has just found spoilt is uploaded once more.
	for try := 0; ; try++ {
		for i, part := range parts {
			path, err := a.path(url.Values{"of": {strconv.Itoa(len(parts))}}, "definitions", hash, strconv.Itoa(i))
			if err != nil {
				return err
			}
			if err := a.send(cmd, http.MethodPut, path, part); err != nil {
				return err
			}
		}
		if err = a.call(cmd, http.MethodPut, body, nil, nil, "dags", p.ID); err == nil || try == 1 {
			return err
		}
	}
}

// runAnswer is what a command needs of a run.
type runAnswer struct {
	ID    string     `json:"dag_run_id"`
	DAG   string     `json:"dag_id"`
	State string     `json:"state"`
	Type  string     `json:"run_type"`
	Start *time.Time `json:"start_date"`
	End   *time.Time `json:"end_date"`
	Date  *time.Time `json:"logical_date"`
}

// load reads a run, to be looked at.
func (a *graphAPI) load(cmd *cobra.Command, id, run string) (*dagview.Run, error) {
	var g dag.Graph
	var r runAnswer
	if err := a.call(cmd, http.MethodGet, nil, &r, nil, "dags", id, "dagRuns", run); err != nil {
		return nil, err
	}
	if err := a.call(cmd, http.MethodGet, nil, &g, nil, "dags", id, "dagRuns", run, "definition"); err != nil {
		return nil, err
	}
	p, err := dag.Check(&g)
	if err != nil {
		return nil, err
	}
	v := &dagview.Run{Plan: p, ID: run, State: r.State, Now: time.Now()}
	for _, t := range []struct {
		from *time.Time
		to   *time.Time
	}{{r.Start, &v.Start}, {r.End, &v.End}} {
		if t.from != nil {
			*t.to = *t.from
		}
	}
	type instance struct {
		Task  string  `json:"task_id"`
		Index int     `json:"map_index"`
		State *string `json:"state"`
		Try   int     `json:"try_number"`
		Job   *string `json:"job"`
	}
	instances, err := list[instance](a, cmd, "task_instances", nil, "dags", id, "dagRuns", run, "taskInstances")
	if err != nil {
		return nil, err
	}
	for _, x := range instances {
		i := dagview.Instance{Step: p.Index[x.Task], Index: x.Index, State: dag.None.String(), Try: x.Try}
		if x.State != nil {
			i.State = *x.State
		}
		if x.Job != nil {
			i.Job = *x.Job
		}
		v.Instances = append(v.Instances, i)
	}
	tries, err := list[airflow.TryView](a, cmd, "tries", nil, "dags", id, "dagRuns", run, "tries")
	if err != nil {
		return nil, err
	}
	for _, t := range tries {
		x := dagview.Try{Step: p.Index[t.Task], Index: t.Index, State: t.State}
		for _, at := range []struct {
			from *string
			to   *time.Time
		}{{t.Start, &x.Begin}, {t.End, &x.End}} {
			if at.from != nil {
				if *at.to, err = time.Parse(time.RFC3339, *at.from); err != nil {
					return nil, fmt.Errorf("malformed answer: %w", err)
				}
			}
		}
		v.Tries = append(v.Tries, x)
	}
	return v, nil
}

// describe uploads the descriptions of a run's steps that can be named ahead.
func describe(cmd *cobra.Command, p *dag.Plan, run, to string, conf json.RawMessage, logical time.Time) error {
	steps := runner.Foreseen(p, run, conf, logical)
	source := &runner.HTTPSource{URL: to, Client: httpjson.NewClient(1, 1, 0, clientTimeout)}
	for from := 0; from < len(steps); from += tuning.DescribeBatch {
		ctx, cancel := context.WithTimeout(cmd.Context(), tuning.DescribeTimeout)
		err := source.Describe(ctx, steps[from:min(len(steps), from+tuning.DescribeBatch)])
		cancel()
		if err != nil {
			return fmt.Errorf("descriptions: %w", err)
		}
	}
	return nil
}
