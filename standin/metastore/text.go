package metastore

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// This file writes responses without looking into the specs of objects: encoding/json encodes none that is nested more
// deeply than it decodes.

// encoded is the body of a response.
type encoded interface{ appendTo(text *bytes.Buffer) }

// appendTo implements encoded.
func (o Object) appendTo(text *bytes.Buffer) {
	meta, _ := json.Marshal(o.Metadata) // never fails for these fields
	text.WriteString(`{"metadata":`)
	text.Write(meta)
	text.WriteString(`,"spec":`)
	appendRaw(text, o.Spec)
	text.WriteString(`,"status":`)
	appendRaw(text, o.Status)
	text.WriteString("}")
}

// appendRaw appends the text of a value.
func appendRaw(text *bytes.Buffer, value json.RawMessage) {
	if len(value) == 0 {
		value = json.RawMessage("null")
	}
	text.Write(value)
}

// appendTo implements encoded.
func (e Event) appendTo(text *bytes.Buffer) {
	text.WriteString(`{"object":`)
	e.Object.appendTo(text)
	text.WriteString(`,"deleted":` + strconv.FormatBool(e.Deleted) + "}")
}

// appendTo implements encoded.
func (r listResponse) appendTo(text *bytes.Buffer) {
	text.WriteString(`{"items":`)
	appendList(text, r.Items)
	text.WriteString(`,"has_more":` + strconv.FormatBool(r.HasMore) + `,"store_revision":` + strconv.FormatInt(r.Revision, 10) + "}")
}

// appendTo implements encoded.
func (r watchResponse) appendTo(text *bytes.Buffer) {
	text.WriteString(`{"events":`)
	appendList(text, r.Events)
	text.WriteString(`,"store_revision":` + strconv.FormatInt(r.Revision, 10) + "}")
}

// appendList appends a list; null if it is nil, as encoding/json does.
func appendList[E encoded](text *bytes.Buffer, list []E) {
	if list == nil {
		text.WriteString("null")
		return
	}
	text.WriteString("[")
	for i, element := range list {
		if i > 0 {
			text.WriteString(",")
		}
		element.appendTo(text)
	}
	text.WriteString("]")
}
