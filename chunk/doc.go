// Package chunk splits long contents into chunks with content-defined boundaries. Two versions
// of a content share most of their chunks, even after an insertion in the middle, so that a
// node that has one version fetches only the chunks that differ in the other.
package chunk
