package assembly

import (
	"context"
	"errors"

	"liftshift/internal/adminapi"
	"liftshift/internal/retry"
)

// errStopping is the answer to an administrative request that arrives while the controller shuts down. Its text is sent
// to clients.
var errStopping = errors.New("this controller stops")

// openAdmin opens the administrative socket if the operators' file names one. It retries while the previous process
// still serves that socket.
func (x *Extensions) openAdmin() error {
	if x.file.ControlSocket == "" {
		return nil
	}
	var router adminapi.Router
	x.routeCluster(&router)
	x.routeHandoff(&router)
	x.routeLocality(&router)
	x.routeQuotas(&router)
	return retry.Do(retry.StartTimeout, func() (err error) {
		x.admin, err = adminapi.Serve(x.file.ControlSocket, router.Dispatch)
		return err
	}, adminapi.ErrInUse)
}

// onLoop runs call on the event loop's goroutine and returns its result, or errStopping once the loop has ended.
func onLoop[Reply any](x *Extensions, call func(now float64) (Reply, error)) (reply Reply, err error) {
	if done := x.loop.Call(func(now float64) { reply, err = call(now) }); !done {
		return reply, errStopping
	}
	return reply, err
}

// routeQuotas registers the handlers for quotas and wait estimates.
func (x *Extensions) routeQuotas(router *adminapi.Router) {
	adminapi.Handle(router, adminapi.OperationQuotas,
		func(context.Context, adminapi.Empty) (adminapi.QuotasReply, error) {
			return onQuotas(x, func(float64) (adminapi.QuotasReply, error) { return x.quotas.reply(), nil })
		})
	adminapi.Handle(router, adminapi.OperationWaits,
		func(context.Context, adminapi.Empty) (adminapi.WaitsReply, error) {
			return onQuotas(x, func(float64) (adminapi.WaitsReply, error) { return x.quotas.waitsReply(), nil })
		})
	adminapi.Handle(router, adminapi.OperationQueueExplain,
		func(_ context.Context, request adminapi.QueueExplainRequest) (adminapi.QueueExplainReply, error) {
			return onQuotas(x, func(float64) (adminapi.QueueExplainReply, error) {
				return x.quotas.explain(request.ID)
			})
		})
	adminapi.Handle(router, adminapi.OperationSetQuota,
		func(_ context.Context, request adminapi.SetQuotaRequest) (adminapi.SetQuotaReply, error) {
			return onQuotas(x, func(now float64) (adminapi.SetQuotaReply, error) { return x.setQuota(now, request) })
		})
}

// onQuotas is onLoop for requests about quotas. It fails if the operators' file configures no quotas.
func onQuotas[Reply any](x *Extensions, call func(now float64) (Reply, error)) (Reply, error) {
	if x.quotas == nil {
		var none Reply
		return none, adminapi.RequestErrorf("there are no quotas: the operators' file has no block quotas")
	}
	return onLoop(x, call)
}
