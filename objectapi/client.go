package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/responsehead"
)

// APIVersion is the API group and version of reelrun's kinds.
const APIVersion = "reelrun.dev/v1"

// BasePath is the path prefix of the kinds.
const BasePath = "/apis/" + APIVersion + "/"

const (
	defaultCallTimeout  = 2 * time.Second
	defaultWatchTimeout = 30 * time.Second
	maxResponseBytes    = 64 << 20
)

// Document is the wire form of an object.
type Document struct {
	APIVersion string          `json:"apiVersion"`
	Kind       Kind            `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

// Metadata identifies an object and its version.
type Metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// ListDocument is the wire form of a list.
type ListDocument struct {
	APIVersion string     `json:"apiVersion"`
	Metadata   Metadata   `json:"metadata"`
	Items      []Document `json:"items"`
}

// Values of WatchDocument.Type.
const (
	WatchModified = "MODIFIED"
	WatchDeleted  = "DELETED"
	WatchError    = "ERROR"
)

// WatchDocument is one line of a watch response.
type WatchDocument struct {
	Type   string   `json:"type"`
	Object Document `json:"object"`
}

// ToDocument returns the wire form of an object.
func ToDocument(object Object) Document {
	return Document{
		APIVersion: APIVersion,
		Kind:       object.Kind,
		Metadata:   Metadata{Name: object.Name, ResourceVersion: strconv.FormatInt(object.Version, 10)},
		Spec:       object.Spec,
	}
}

// FromDocument converts the wire form to an object.
func FromDocument(document Document) (Object, error) {
	version, err := ParseVersion(document.Metadata.ResourceVersion)
	if err != nil {
		return Object{}, err
	}
	return Object{Kind: document.Kind, Name: document.Metadata.Name, Version: version, Spec: document.Spec}, nil
}

// ParseVersion parses a resource version. Empty text stands for zero.
func ParseVersion(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseInt(text, 10, 64)
	return version, errors.Wrap(err, "parse resource version")
}

// Client is a client of the object API over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client for the platform at the given IP address and port.
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

var _ Store = (*Client)(nil)

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var document Document
	if err := c.call(ctx, http.MethodGet, kind, name, nil, nil, &document); err != nil {
		return Object{}, err
	}
	return FromDocument(document)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind) ([]Object, int64, error) {
	var list ListDocument
	if err := c.call(ctx, http.MethodGet, kind, "", nil, nil, &list); err != nil {
		return nil, 0, err
	}
	revision, err := ParseVersion(list.Metadata.ResourceVersion)
	if err != nil {
		return nil, 0, err
	}
	objects := make([]Object, len(list.Items))
	for i, item := range list.Items {
		if objects[i], err = FromDocument(item); err != nil {
			return nil, 0, err
		}
	}
	return objects, revision, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, object Object) (Object, error) {
	if len(object.Spec) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	body := ToDocument(object)
	var document Document
	if err := c.call(ctx, http.MethodPut, object.Kind, object.Name, nil, body, &document); err != nil {
		return Object{}, err
	}
	return FromDocument(document)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version int64) error {
	query := url.Values{"resourceVersion": {strconv.FormatInt(version, 10)}}
	return c.call(ctx, http.MethodDelete, kind, name, query, nil, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind Kind, after int64, handle func(Event)) error {
	ctx, cancel := context.WithTimeout(ctx, defaultWatchTimeout)
	defer cancel()
	query := url.Values{"watch": {"true"}, "resourceVersion": {strconv.FormatInt(after, 10)}}
	response, err := c.send(ctx, http.MethodGet, kind, "", query, nil)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if err := StatusError(response.StatusCode); err != nil {
		return err
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var line WatchDocument
		if err := decoder.Decode(&line); err != nil {
			return errors.CombineErrors(ErrUnavailable, err)
		}
		if line.Type == WatchError {
			return ErrTooOld
		}
		object, err := FromDocument(line.Object)
		if err != nil {
			return err
		}
		handle(Event{Object: object, Deleted: line.Type == WatchDeleted})
	}
}

func (c *Client) call(ctx context.Context, method string, kind Kind, name string, query url.Values, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	response, err := c.send(ctx, method, kind, name, query, body)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if err := StatusError(response.StatusCode); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if err := decoder.Decode(result); err != nil {
		return errors.CombineErrors(ErrUnavailable, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method string, kind Kind, name string, query url.Values, body any) (*http.Response, error) {
	target := url.URL{Scheme: "http", Host: c.address, Path: BasePath + string(kind), RawQuery: query.Encode()}
	if name != "" {
		target.Path += "/" + name
	}
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode object")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.CombineErrors(ErrUnavailable, err)
	}
	if err := responsehead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.CombineErrors(ErrUnavailable, err)
	}
	return response, nil
}

// StatusError returns the error for an HTTP status of the object API, nil on success.
func StatusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrThrottled
	case http.StatusGone:
		return ErrTooOld
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	}
}

// closeBody drains a bounded part of the body so that the connection can be reused.
func closeBody(response *http.Response) {
	const drainLimit = 64 << 10
	_, _ = io.CopyN(io.Discard, response.Body, drainLimit)
	_ = response.Body.Close()
}
