/** Scenarios about the decisions of owners. */

import { defineFeature } from "../lib/defineFeature.js";
import { OwnershipFixture } from "../lib/OwnershipFixture.js";
import { ownershipSteps } from "../lib/steps/ownershipSteps.js";

defineFeature("ownership", [ownershipSteps], seed => new OwnershipFixture(seed));
