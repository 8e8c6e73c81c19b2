// SPDX-License-Identifier: Apache-2.0

package forecast

import "encoding/json"

// MaxEncoded bounds the size of an encoded summary, in bytes: nodes ask each owner for it several
// times a second.
const MaxEncoded = 4096

// Encode encodes a summary. If it exceeds MaxEncoded, the last queues are left out.
func (s *Summary) Encode() (json.RawMessage, error) {
	short := *s
	for {
		data, err := json.Marshal(&short)
		if err != nil {
			return nil, &Error{"encode", KindInvalid, "", err}
		}
		excess := len(data) - MaxEncoded
		if excess <= 0 || len(short.Queues) == 0 {
			return data, nil
		}
		short.Queues = short.Queues[:max(0, len(short.Queues)-max(1, excess/MaxQueueName))]
	}
}

// Decode decodes and validates a summary.
func Decode(data json.RawMessage) (*Summary, error) {
	var version struct {
		Version int `json:"v"`
	}
	if err := json.Unmarshal(data, &version); err != nil {
		return nil, &Error{"decode", KindInvalid, "", err}
	}
	if version.Version != SummaryVersion {
		// The fields of another version may have other types.
		return nil, (&Summary{Version: version.Version}).Validate()
	}
	s := &Summary{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, &Error{"decode", KindInvalid, "", err}
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}
