package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"topazmoor/internal/catalog"
	"topazmoor/internal/settings"
	"topazmoor/internal/verdict"
)

// RevertRequest is the body of a revert call.
type RevertRequest struct {
	// To is the revision whose templates and accounts come back.
	To     int64 `json:"to" need:"true"`
	DryRun bool  `json:"dry_run"`
}

// revert submits the content of an earlier revision as a new one.
func (s *Server) revert(r *http.Request, op settings.Operator) (any, error) {
	var req RevertRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	cur := s.cfg.Catalog()
	if req.To < 1 || req.To >= cur.Revision {
		return nil, verdict.New(verdict.NotRun, verdict.InvalidRequest, "to: write a revision from 1 to %d", cur.Revision-1)
	}
	items, err := s.itemsAtRevision(r.Context(), req.To)
	if err != nil {
		return nil, err
	}
	note := fmt.Sprintf("return to revision %d", req.To)
	return s.submit(r.Context(), op, ApplyRequest{Base: cur.Revision, DryRun: req.DryRun, Note: note, Force: true}, items)
}

// itemsAtRevision returns the items that turn the present templates and accounts into
// those of a revision. Drains and stops are orders of their day and stay.
func (s *Server) itemsAtRevision(ctx context.Context, revision int64) ([]catalog.Item, error) {
	then := make(map[string]json.RawMessage)
	since := make(map[string]catalog.Item)
	for after := int64(0); ; {
		changes, err := s.cfg.Store.Changes(ctx, after, auditPage)
		if err != nil {
			return nil, err
		}
		for _, c := range changes {
			after = c.Revision
			for _, it := range c.Items {
				if it.Kind != catalog.TemplateItem && it.Kind != catalog.AccountItem {
					continue
				}
				if c.Revision <= revision {
					then[it.Key()] = it.Value
				} else {
					since[it.Key()] = it
				}
			}
		}
		if len(changes) < auditPage {
			break
		}
	}
	items := make([]catalog.Item, 0, len(since))
	for key, it := range since {
		it.Value = then[key]
		items = append(items, it)
	}
	return items, nil
}
