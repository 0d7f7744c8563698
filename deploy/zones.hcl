# One of the controllers of three zones in two regions. Off wherever this file is not given.
store {
  directory = "/var/lib/liftshift"
}

cluster {
  name     = "kurume"
  address  = "10.0.0.4:7950"
  seeds    = ["10.0.0.4:7950", "10.0.1.4:7950", "10.0.2.4:7950"]
  zone     = "kurume-1" # as the list of executors has it
  region   = "kurume"
  founders = ["n1", "n2", "n3"] # best one in each zone
}

zones {
  spill = 0.8   # of what a zone's own requests leave, others may have so much
  stage = "10s" # of a recovery

  region "kokura" {
    latency = "20ms"
  }
}

control {
  socket = "/run/liftshift/control.sock" # liftshift zones show --file deploy/zones.hcl
}
