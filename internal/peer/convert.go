package peer

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/ledger"
	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/verdict"
)

func keyTo(k ledger.Key) *peerpb.Key { return &peerpb.Key{Account: k.Account, Key: k.Key} }

func keyFrom(k *peerpb.Key) ledger.Key {
	return ledger.Key{Account: k.GetAccount(), Key: k.GetKey()}
}

func claimTo(c ledger.Claim) *peerpb.Claim {
	return &peerpb.Claim{Key: keyTo(c.Key), Fingerprint: c.Fingerprint, Attempt: c.Attempt, UntilUnixNano: c.Until.UnixNano()}
}

func claimFrom(c *peerpb.Claim) ledger.Claim {
	return ledger.Claim{
		Key: keyFrom(c.GetKey()), Fingerprint: c.GetFingerprint(), Attempt: c.GetAttempt(),
		Until: time.Unix(0, c.GetUntilUnixNano()),
	}
}

func outcomeTo(o *ledger.Outcome) *peerpb.Outcome {
	if o == nil {
		return nil
	}
	return &peerpb.Outcome{Status: int32(o.Status), Body: o.Body}
}

func outcomeFrom(o *peerpb.Outcome) *ledger.Outcome {
	if o == nil {
		return nil
	}
	return &ledger.Outcome{Status: int(o.Status), Body: o.Body}
}

func recordTo(r ledger.Record) *peerpb.Record {
	return &peerpb.Record{Claim: claimTo(r.Claim), Outcome: outcomeTo(r.Outcome)}
}

func recordFrom(r *peerpb.Record) ledger.Record {
	if r == nil {
		return ledger.Record{}
	}
	return ledger.Record{Claim: claimFrom(r.Claim), Outcome: outcomeFrom(r.Outcome)}
}

func grantTo(g ledger.Grant) *peerpb.Grant {
	return &peerpb.Grant{Granted: g.Granted, Existing: recordTo(g.Existing)}
}

func grantFrom(g *peerpb.Grant) ledger.Grant {
	return ledger.Grant{Granted: g.GetGranted(), Existing: recordFrom(g.GetExisting())}
}

func foundTo(r ledger.Record, found bool) *peerpb.Found {
	return &peerpb.Found{Found: found, Record: recordTo(r)}
}

func refusalOf(err error) *peerpb.Refusal {
	e := verdict.As(err)
	return &peerpb.Refusal{
		Verdict: uint32(e.Verdict), Code: string(e.Code), Reason: e.Reason, RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func refusalFrom(r *peerpb.Refusal) error {
	return verdict.New(verdict.Verdict(r.Verdict), verdict.Code(r.Code), "%s", r.Reason).
		After(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

func changesTo(changes []catalog.Change) (*peerpb.Response, error) {
	out := &peerpb.Changes{}
	for _, c := range changes {
		b, err := json.Marshal(c)
		if err != nil {
			return nil, eris.Wrap(err, "encode change")
		}
		out.Change = append(out.Change, b)
	}
	return &peerpb.Response{Result: &peerpb.Response_Changes{Changes: out}}, nil
}

func changesFrom(m *peerpb.Changes) ([]catalog.Change, error) {
	var out []catalog.Change
	for _, b := range m.GetChange() {
		var c catalog.Change
		if err := json.Unmarshal(b, &c); err != nil {
			return nil, eris.Wrap(err, "decode change")
		}
		out = append(out, c)
	}
	return out, nil
}

func snapshotTo(revision int64, items []catalog.Item) (*peerpb.Response, error) {
	out := &peerpb.Snapshot{Revision: revision}
	for _, it := range items {
		b, err := json.Marshal(it)
		if err != nil {
			return nil, eris.Wrap(err, "encode item")
		}
		out.Item = append(out.Item, b)
	}
	return &peerpb.Response{Result: &peerpb.Response_Snapshot{Snapshot: out}}, nil
}

func snapshotFrom(m *peerpb.Snapshot) (int64, []catalog.Item, error) {
	var items []catalog.Item
	for _, b := range m.GetItem() {
		var it catalog.Item
		if err := json.Unmarshal(b, &it); err != nil {
			return 0, nil, eris.Wrap(err, "decode item")
		}
		items = append(items, it)
	}
	return m.GetRevision(), items, nil
}

func demandTo(list []scheduler.ModelDemand) *peerpb.Response {
	out := &peerpb.Demand{}
	for _, d := range list {
		out.Model = append(out.Model, &peerpb.Demand_Model{Pool: d.Pool, Model: d.Model, Calls: uint32(d.Calls)})
	}
	return &peerpb.Response{Result: &peerpb.Response_Demand{Demand: out}}
}

func demandFrom(m *peerpb.Demand) []scheduler.ModelDemand {
	var out []scheduler.ModelDemand
	for _, d := range m.GetModel() {
		out = append(out, scheduler.ModelDemand{Pool: d.Pool, Model: d.Model, Calls: int(d.Calls)})
	}
	return out
}
