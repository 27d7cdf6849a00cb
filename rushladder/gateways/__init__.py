"""What driving plain gateways takes: rounding, holding, metering and differences, all free of I/O."""
