package adminapi

import (
	"context"
	"fmt"
)

// Router serves each question by a function of its own.
type Router struct {
	routes map[string]Handler
}

// Handle has a question served by a function with typed requests and replies. It is called before Serve.
func Handle[Request, Reply any](r *Router, question string, serve func(ctx context.Context, request Request) (Reply, error)) {
	if r.routes == nil {
		r.routes = map[string]Handler{}
	}
	r.routes[question] = func(ctx context.Context, _ string, fields map[string]any) (map[string]any, error) {
		var request Request
		if err := decode(fields, &request); err != nil {
			return nil, RequestErrorf("%w", err)
		}
		reply, err := serve(ctx, request)
		if err != nil {
			return nil, err
		}
		return encode(reply), nil
	}
}

// Answer is the Handler of a router.
func (r *Router) Answer(ctx context.Context, question string, fields map[string]any) (map[string]any, error) {
	route, known := r.routes[question]
	if !known {
		return nil, RequestErrorf("no question %q", question)
	}
	return route(ctx, question, fields)
}

// Empty is a request without fields.
type Empty struct{}

// Ask asks the controller behind a path a question with a typed request and reply.
func Ask[Reply any](ctx context.Context, path, question string, request any) (Reply, error) {
	var reply Reply
	fields, err := Call(ctx, path, question, encode(request))
	if err != nil {
		return reply, err
	}
	if err := decode(fields, &reply); err != nil {
		return reply, fmt.Errorf("reply to %q: %w", question, err)
	}
	return reply, nil
}
