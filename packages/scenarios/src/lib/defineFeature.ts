/** Defines mocha tests from the scenarios of a Gherkin file. */

import { fileURLToPath } from "node:url";
import { loadScenarios } from "./loadScenarios.js";
import { matchesTags, seedFromEnvironment, tagsFromEnvironment } from "./selection.js";
import { StepMatcher, type StepTable } from "./StepTable.js";
import { unknownTags } from "./tags.js";

/** State of one scenario, created before it and closed after it. */
export interface ScenarioFixture {
    close(): Promise<void>;
}

/** Folder of the Gherkin files. */
export const featureFolder = fileURLToPath(new URL("../../features", import.meta.url));

/** Defines a mocha suite from `features/NAME.feature`. */
export function defineFeature<Fixture extends ScenarioFixture>(
    name: string,
    tables: readonly StepTable<Fixture>[],
    createFixture: (seed: number) => Fixture,
): void {
    const matcher = new StepMatcher(tables);
    const seed = seedFromEnvironment();
    const scenarios = loadScenarios(`${featureFolder}/${name}.feature`)
        .filter(scenario => matchesTags(scenario.tags, tagsFromEnvironment()));
    describe(`scenarios of ${name}`, () => {
        for (const scenario of scenarios) {
            it(scenario.name, async () => {
                const unknown = unknownTags(scenario.tags);
                if (unknown.length > 0) {
                    throw new Error(`The tags ${unknown.join(", ")} are unknown.`);
                }
                const fixture = createFixture(seed);
                try {
                    for (const step of scenario.steps) {
                        await runStep(matcher, fixture, step);
                    }
                }
                finally {
                    await fixture.close();
                }
            });
        }
    });
}

async function runStep<Fixture>(
    matcher: StepMatcher<Fixture>,
    fixture: Fixture,
    step: { readonly text: string; readonly rows: readonly (readonly string[])[]; },
): Promise<void> {
    try {
        await matcher.run(fixture, step);
    }
    catch (err) {
        const failure = err instanceof Error ? err : new Error(String(err));
        failure.message = `At "${step.text}": ${failure.message}`;
        throw failure;
    }
}
