package adminapi

import (
	"context"
	"fmt"
)

// Router dispatches each operation to its own function.
type Router struct {
	routes map[string]Handler
}

// Handle registers a function with a typed request and reply for an operation. It must be called before Serve.
func Handle[Request, Reply any](
	r *Router, operation string, serve func(ctx context.Context, request Request) (Reply, error),
) {
	if r.routes == nil {
		r.routes = map[string]Handler{}
	}
	r.routes[operation] = func(ctx context.Context, _ string, fields map[string]any) (map[string]any, error) {
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

// Dispatch is the Handler that calls the function registered for an operation.
func (r *Router) Dispatch(ctx context.Context, operation string, fields map[string]any) (map[string]any, error) {
	route, known := r.routes[operation]
	if !known {
		return nil, RequestErrorf("no question %q", operation)
	}
	return route(ctx, operation, fields)
}

// Empty is a request without fields.
type Empty struct{}

// Ask calls an operation of the controller whose control socket is at a path, with a typed request and reply.
func Ask[Reply any](ctx context.Context, path, operation string, request any) (Reply, error) {
	var reply Reply
	fields, err := Call(ctx, path, operation, encode(request))
	if err != nil {
		return reply, err
	}
	if err := decode(fields, &reply); err != nil {
		return reply, fmt.Errorf("reply to %q: %w", operation, err)
	}
	return reply, nil
}
