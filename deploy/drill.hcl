# A drill on one machine before a cluster block is trusted: liftshift chaos deploy/drill.hcl --report drill.html
controllers = 6
executors   = 3
zones       = 3
founders    = 3
store       = true
clients     = 6
work_ms     = 5
length      = "30s"
settled     = "15s" # all views agree again by then

step "2s"  { kill = ["c1"] }
step "8s"  { start = ["c1"] }
step "10s" { partitions = [["c0", "c1"], ["c2", "c3", "c4", "c5"]] }
step "17s" { heal = true }
step "19s" {
  loss      = 0.1
  duplicate = 0.05
  delay     = "30ms"
}
step "22s" { stop = ["c4"] } # it is suspended, and resumes in the belief that it is alive
step "27s" { go = ["c4"] }
step "28s" {
  term  = ["c5"]
  drain = ["s2"] # one executor drains: nothing new goes there past the grace
}
