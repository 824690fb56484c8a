// Package team tells which team a caller or an operator belongs to and shares
// the capacity among teams.
package team
