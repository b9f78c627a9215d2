/** The questionnaire's commands: new, edit, check, diff and apply. */

import { parseToml, withLine } from "@tamarackpath/adapters";
import {
    type ConfigDifference,
    type ConfigDocument,
    type ConfigDraft,
    diffConfigs,
    type Finding,
    generateConfig,
    type Problem,
    problem,
    questionnaireTemplate,
} from "@tamarackpath/core";
import { randomUUID } from "node:crypto";
import { existsSync, writeFileSync } from "node:fs";
import { type Either, Left } from "purify-ts";
import { stringify } from "smol-toml";
import { type Connection, type OperatorHost, readText } from "../Connection.js";
import { printFindings, printJson, printProblem, printRows } from "../output.js";
import { withHosts } from "./observe.js";

const settleTries = 5;
const settleRetryMs = 500;
const basePattern = /^# base revision: (\d+)$/m;

/** A questionnaire read from a file. */
interface ReadQuestionnaire {
    readonly doc: ConfigDocument;
    /** The revision that the file was made from, when it says so. */
    readonly base: number | undefined;
}

/** Writes an empty questionnaire. */
export function newQuestionnaire(file: string): void {
    writeNew(file, questionnaireTemplate());
}

/** Writes the answers in force to a file, for editing. */
export async function editQuestionnaire(connection: Connection, name: string, file: string): Promise<void> {
    await withDocument(connection, name, (unusedHost, doc) => {
        writeNew(file, `# base revision: ${doc.revision}\n${stringify(doc.answers)}\n`);
        return Promise.resolve();
    });
}

/** Checks the answers of a file. */
export function checkQuestionnaire(file: string): void {
    const read = readQuestionnaire(file);
    read.ifLeft(printFindings);
    read.ifRight(({ doc }) => {
        console.log(`The questionnaire is valid: ${doc.services.length} services, ${doc.pools.length} pools.`);
    });
}

/** Shows what the answers of a file would change. */
export async function diffQuestionnaire(connection: Connection, file: string, isJson: boolean): Promise<void> {
    await withQuestionnaire(file, ({ doc }) =>
        withDocument(connection, doc.name, (unusedHost, inForce) => {
            printDifferences(differences(inForce, doc), doc, isJson);
            return Promise.resolve();
        }));
}

/** Applies the answers of a file on top of the revision that the file was made from. */
export async function applyQuestionnaire(connection: Connection, file: string, isJson: boolean): Promise<void> {
    await withQuestionnaire(file, read =>
        withHosts(connection, async hosts => {
            const current = await firstDocument(hosts, read.doc.name);
            const base = read.base ?? current?.revision ?? 0;
            const res = await propose(hosts, { doc: draftOf(read.doc), base, operationId: randomUUID() });
            res.ifRight(({ revision }) => console.log(`Revision ${revision} of ${read.doc.name} is accepted.`));
            res.ifLeft(found => {
                printProblem(found);
                if (found.type === "conflict" && current !== undefined) {
                    console.error(`Revision ${current.revision} is in force. It differs from your answers:`);
                    printDifferences(differences(current, read.doc), read.doc, isJson);
                    console.error("Fetch the answers in force with `tamarack questionnaire edit`, and apply again.");
                }
            });
        }));
}

/** Proposes the change, and asks again under the same operation id while its outcome is not known. */
async function propose(
    hosts: readonly OperatorHost[],
    change: { readonly doc: ConfigDraft; readonly base: number; readonly operationId: string; },
): Promise<Either<Problem, { readonly revision: number; }>> {
    const ask = (): Promise<Either<Problem, { readonly revision: number; }>> =>
        firstAnswer(hosts, host => host.client.applyConfig(change.doc.name, change));
    let res = await ask();
    for (let left = settleTries; left > 0 && isUnknown(res); left--) {
        await new Promise(resolve => setTimeout(resolve, settleRetryMs));
        res = await ask();
    }
    return res;
}

function isUnknown(res: Either<Problem, unknown>): boolean {
    return res.swap().map(found => found.run === "unknown").orDefault(false);
}

function draftOf(doc: ConfigDocument): ConfigDraft {
    const { name, answers, pools, services, why } = doc;
    return { name, answers, pools, services, why };
}

function readQuestionnaire(file: string): Either<readonly Finding[], ReadQuestionnaire> {
    return readText(file).chain(text =>
        parseToml(file, text)
            .chain(answers => generateConfig(answers, 1, "draft"))
            .map(doc => ({ doc, base: baseOf(text) }))
            .mapLeft(findings => findings.map(finding => placed(file, text, finding)))
    );
}

function placed(file: string, text: string, finding: Finding): Finding {
    return withLine(file, text, { ...finding, place: finding.place.replace(/^questionnaire\./, "") });
}

function baseOf(text: string): number | undefined {
    const match = basePattern.exec(text);
    return match === null ? undefined : Number(match[1]);
}

function differences(before: ConfigDocument, after: ConfigDocument): readonly ConfigDifference[] {
    return diffConfigs(withoutSources(before), withoutSources(after));
}

/** Leaves out the answers and their traces: the generated values say what changes. */
function withoutSources(doc: ConfigDocument): ConfigDocument {
    return { ...doc, answers: {}, why: {} };
}

function printDifferences(found: readonly ConfigDifference[], doc: ConfigDocument, isJson: boolean): void {
    if (found.length === 0 && !isJson) {
        console.log("Nothing changes.");
        return;
    }
    const rows = found.map(difference => ({ ...difference, answer: whyOf(doc, difference.path) }));
    if (isJson) {
        printJson(rows);
        return;
    }
    printRows(rows, ["path", "before", "after", "answer"], false);
}

/** The answer behind the value at `place`, or behind the nearest part above it. */
export function whyOf(doc: ConfigDocument, place: string): string | undefined {
    const parts = place.split(".");
    while (parts.length > 0) {
        const answer = doc.why[parts.join(".")];
        if (answer !== undefined) {
            return answer;
        }
        parts.pop();
    }
    return undefined;
}

function writeNew(file: string, text: string): void {
    if (existsSync(file)) {
        printFindings([{ place: file, read: "a file", allowed: "a name that is not taken" }]);
        return;
    }
    writeFileSync(file, text);
    console.log(`Wrote ${file}.`);
}

async function withQuestionnaire(file: string, run: (read: ReadQuestionnaire) => Promise<void>): Promise<void> {
    const read = readQuestionnaire(file);
    read.ifLeft(printFindings);
    await read.map(run).orDefault(Promise.resolve());
}

/** Hands the document in force to `run`, or prints why there is none. */
export async function withDocument(
    connection: Connection,
    name: string,
    run: (host: OperatorHost, doc: ConfigDocument) => Promise<void>,
): Promise<void> {
    await withHosts(connection, async hosts => {
        const res = await firstAnswer(hosts, host => host.client.config<ConfigDocument>(name));
        res.ifLeft(found => printProblem(found));
        await res.map(doc => run(hosts[0]!, doc)).orDefault(Promise.resolve());
    });
}

async function firstDocument(hosts: readonly OperatorHost[], name: string): Promise<ConfigDocument | undefined> {
    const res = await firstAnswer(hosts, host => host.client.config<ConfigDocument>(name));
    return res.toMaybe().extract();
}

/** Asks the hosts in turn until one answers; an unreachable host is passed over. */
async function firstAnswer<Answer>(
    hosts: readonly OperatorHost[],
    ask: (host: OperatorHost) => Promise<Either<Problem, Answer>>,
): Promise<Either<Problem, Answer>> {
    let last: Either<Problem, Answer> = Left(problem("unavailable", "No host is listed."));
    for (const host of hosts) {
        last = await ask(host);
        const isUnreachable = last.swap().map(found => found.type === "unavailable").orDefault(false);
        if (!isUnreachable) {
            return last;
        }
    }
    return last;
}
