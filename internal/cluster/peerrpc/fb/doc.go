// Package fb holds the FlatBuffers messages between controllers, generated
// from mesh.fbs in the folder above.
package fb
