/** Scenarios about the configuration. */

import { ConfigFixture } from "../lib/ConfigFixture.js";
import { defineFeature } from "../lib/defineFeature.js";
import { configSteps } from "../lib/steps/configSteps.js";
import { fleetSteps } from "../lib/steps/fleetSteps.js";

defineFeature("config", [fleetSteps, configSteps], seed => new ConfigFixture(seed));
