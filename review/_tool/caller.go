package main

import (
	"context"
	"net/http"
	"strings"
)

// newRequest returns a request of a caller to a node.
func newRequest(ctx context.Context, n *node, method, path, id, body string, header map[string]string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = callerHost
	req.Header.Set("Topazmoor-Request-Id", id)
	req.Header.Set("Authorization", "Token "+callerKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return req, nil
}

// send sends a request on a channel of its own.
func send(req *http.Request) (*http.Response, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}
