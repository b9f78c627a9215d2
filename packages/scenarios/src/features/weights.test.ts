/** Scenarios about weights. */

import { defineFeature } from "../lib/defineFeature.js";
import { fleetSteps } from "../lib/steps/fleetSteps.js";
import { weightSteps } from "../lib/steps/weightSteps.js";
import { WeightFixture } from "../lib/WeightFixture.js";

defineFeature("weights", [fleetSteps, weightSteps], seed => new WeightFixture(seed));
