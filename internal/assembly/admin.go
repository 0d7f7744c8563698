package assembly

import (
	"context"
	"errors"

	"liftshift/internal/adminapi"
	"liftshift/internal/retry"
)

// errStopping is returned to a question that meets the end of the controller.
var errStopping = errors.New("this controller stops")

// openAdmin opens the administrative socket, where the file names one.
func (x *Extensions) openAdmin() error {
	if x.file.Control == "" {
		return nil
	}
	var router adminapi.Router
	x.routeCluster(&router)
	x.routeHandoff(&router)
	x.routeLocality(&router)
	x.routeQuotas(&router)
	return retry.Do(retry.StartTimeout, func() (err error) {
		x.admin, err = adminapi.Serve(x.file.Control, router.Answer)
		return err
	}, adminapi.ErrInUse)
}

// onLoop makes a call on the event loop's goroutine and returns what it returns.
func onLoop[Reply any](x *Extensions, call func(now float64) (Reply, error)) (reply Reply, err error) {
	if done := x.loop.Call(func(now float64) { reply, err = call(now) }); !done {
		return reply, errStopping
	}
	return reply, err
}

// routeQuotas serves the questions about quotas and waits.
func (x *Extensions) routeQuotas(r *adminapi.Router) {
	adminapi.Handle(r, adminapi.QuestionQuotas, func(context.Context, adminapi.Empty) (adminapi.QuotasReply, error) {
		return onQuotas(x, func(float64) (adminapi.QuotasReply, error) { return x.quotas.reply(), nil })
	})
	adminapi.Handle(r, adminapi.QuestionWaits, func(context.Context, adminapi.Empty) (adminapi.WaitsReply, error) {
		return onQuotas(x, func(float64) (adminapi.WaitsReply, error) { return x.quotas.waitsReply(), nil })
	})
	adminapi.Handle(r, adminapi.QuestionQueueExplain, func(_ context.Context, q adminapi.QueueExplainRequest) (adminapi.QueueExplainReply, error) {
		return onQuotas(x, func(float64) (adminapi.QueueExplainReply, error) { return x.quotas.explain(q.ID) })
	})
	adminapi.Handle(r, adminapi.QuestionSetQuota, func(_ context.Context, q adminapi.SetQuotaRequest) (adminapi.SetQuotaReply, error) {
		return onQuotas(x, func(now float64) (adminapi.SetQuotaReply, error) { return x.setQuota(now, q) })
	})
}

// onQuotas makes a call on the event loop's goroutine where there are quotas.
func onQuotas[Reply any](x *Extensions, call func(now float64) (Reply, error)) (Reply, error) {
	if x.quotas == nil {
		var none Reply
		return none, adminapi.RequestErrorf("there are no quotas: the operators' file has no block quotas")
	}
	return onLoop(x, call)
}
