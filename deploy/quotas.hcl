# Two teams before one installation: look-ups of the modellers, reports and loads of the renderers.
quotas {
  default     = "other"
  age         = "3s" # the oldest get a part of all work past this wait
  attribution = ["field", "address", "class", "schema"] # the order in which rules are looked at

  team "model" {
    weight     = 3
    guaranteed = 0.3
  }
  team "render" {
    weight = 1
    queue  = 5000 # further ones are rejected
  }
  team "render-nightly" {
    parent  = "render"
    ceiling = 0.2 # of the installation, in the long run
    burst   = "2s"
  }
  team "render-daily" { parent = "render" }
  team "other" { weight = 0.5 }

  address "10.20.0.0/16" { team = "model" }
  class "report" { team = "render-daily" }
  schema "nightly" { team = "render-nightly" }
}

control {
  socket = "/run/liftshift/control.sock" # for its owner alone: liftshift quotas show --file deploy/quotas.hcl
}
