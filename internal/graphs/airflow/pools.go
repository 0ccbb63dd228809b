package airflow

import "poppypass/internal/graphs/runner"

// poolView is a pool in the API's form.
type poolView struct {
	Name        string  `json:"name"`
	Slots       int     `json:"slots"`
	Occupied    int     `json:"occupied_slots"`
	Used        int     `json:"used_slots"`
	Queued      int     `json:"queued_slots"`
	Running     int     `json:"running_slots"`
	Open        int     `json:"open_slots"`
	Scheduled   int     `json:"scheduled_slots"`
	Deferred    int     `json:"deferred_slots"`
	Description *string `json:"description"`
}

func viewPool(p *runner.PoolView) poolView {
	return poolView{
		Name:      p.Name,
		Slots:     p.Slots,
		Occupied:  p.Used,
		Used:      p.Used,
		Queued:    p.Used,
		Open:      max(0, p.Slots-p.Used),
		Scheduled: p.Waiting,
	}
}

// pools returns the pools of the request's team, in the order of the leader's answer.
func (h *Handler) pools(r *request) ([]poolView, error) {
	pools, err := h.askPools(r)
	if err != nil {
		return nil, err
	}
	views := []poolView{}
	for i := range pools {
		views = append(views, viewPool(&pools[i]))
	}
	return views, nil
}

var poolSortFields = sortFields[poolView]{
	"name": byText(func(v *poolView) string { return v.Name }),
}

func (h *Handler) listPools(r *request) (any, error) {
	page, err := r.page()
	if err != nil {
		return nil, err
	}
	views, err := h.pools(r)
	if err != nil {
		return nil, err
	}
	return sortedPage(r, page, "pools", views, poolSortFields, "name")
}

func (h *Handler) getPool(r *request) (any, error) {
	views, err := h.pools(r)
	if err != nil {
		return nil, err
	}
	for _, v := range views {
		if v.Name == r.PathValue("pool") {
			return v, nil
		}
	}
	return nil, runner.ErrNotFound
}
