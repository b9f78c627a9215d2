/** Reads scenarios from Gherkin files. */

import { AstBuilder, compile, GherkinClassicTokenMatcher, Parser } from "@cucumber/gherkin";
import { IdGenerator, type PickleStep } from "@cucumber/messages";
import { readdirSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";

/** One step of a scenario. */
export interface ScenarioStep {
    readonly text: string;
    /** Rows of the step's table, empty without a table. */
    readonly rows: readonly (readonly string[])[];
}

/** One scenario of a file. */
export interface Scenario {
    readonly name: string;
    readonly feature: string;
    readonly tags: readonly string[];
    readonly steps: readonly ScenarioStep[];
}

/** Reads the scenarios of one file. */
export function loadScenarios(file: string): readonly Scenario[] {
    const newId = IdGenerator.incrementing();
    const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher());
    const doc = parser.parse(readFileSync(file, "utf8"));
    return compile(doc, file, newId).map(pickle => ({
        name: pickle.name,
        feature: basename(file, ".feature"),
        tags: pickle.tags.map(tag => tag.name),
        steps: pickle.steps.map(toStep),
    }));
}

/** Reads the scenarios of all feature files of a folder, in the order of the file names. */
export function loadFolder(folder: string): readonly Scenario[] {
    return readdirSync(folder)
        .filter(name => name.endsWith(".feature"))
        .sort()
        .flatMap(name => loadScenarios(join(folder, name)));
}

function toStep(step: PickleStep): ScenarioStep {
    const rows = step.argument?.dataTable?.rows ?? [];
    return { text: step.text, rows: rows.map(row => row.cells.map(cell => cell.value)) };
}
