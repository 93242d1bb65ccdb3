// Package clean is the runtime of the removal of old configuration objects: it
// carries out the calls that package core/config/retention asks for, at a bounded
// rate. One entry does so, given by a hash over the host list, only to save
// effort: any number of entries at once do no harm.
package clean
