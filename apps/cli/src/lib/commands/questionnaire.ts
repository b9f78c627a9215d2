/** The commands for the questionnaire: new, edit, check, diff and apply. */

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

const maxOutcomeRetries = 5;
const outcomeRetryDelayMs = 500;
const basePattern = /^# base revision: (\d+)$/m;

/** A questionnaire that was read from a file. */
interface QuestionnaireFile {
    readonly doc: ConfigDocument;
    /** The revision that the file is based on, if the file states it. */
    readonly base: number | undefined;
}

/** Writes an empty questionnaire. */
export function newQuestionnaire(file: string): void {
    writeNewFile(file, questionnaireTemplate());
}

/** Writes the answers in force to a file, for editing. */
export async function editQuestionnaire(connection: Connection, name: string, file: string): Promise<void> {
    await withDocument(connection, name, (unusedHost, doc) => {
        writeNewFile(file, `# base revision: ${doc.revision}\n${stringify(doc.answers)}\n`);
        return Promise.resolve();
    });
}

/** Validates the answers of a file. */
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

/** Applies the answers of a file to the revision that the file is based on. */
export async function applyQuestionnaire(connection: Connection, file: string, isJson: boolean): Promise<void> {
    await withQuestionnaire(file, read =>
        withHosts(connection, async hosts => {
            const current = await readDocument(hosts, read.doc.name);
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

/** Proposes the change, and retries with the same operation id while its outcome is unknown. */
async function propose(
    hosts: readonly OperatorHost[],
    change: { readonly doc: ConfigDraft; readonly base: number; readonly operationId: string; },
): Promise<Either<Problem, { readonly revision: number; }>> {
    const proposeOnce = (): Promise<Either<Problem, { readonly revision: number; }>> =>
        askUntilAnswered(hosts, host => host.client.applyConfig(change.doc.name, change));
    let res = await proposeOnce();
    for (let retriesLeft = maxOutcomeRetries; retriesLeft > 0 && isOutcomeUnknown(res); retriesLeft--) {
        await new Promise(resolve => setTimeout(resolve, outcomeRetryDelayMs));
        res = await proposeOnce();
    }
    return res;
}

function isOutcomeUnknown(res: Either<Problem, unknown>): boolean {
    return res.swap().map(found => found.run === "unknown").orDefault(false);
}

function draftOf(doc: ConfigDocument): ConfigDraft {
    const { name, answers, pools, services, why } = doc;
    return { name, answers, pools, services, why };
}

function readQuestionnaire(file: string): Either<readonly Finding[], QuestionnaireFile> {
    return readText(file).chain(text =>
        parseToml(file, text)
            .chain(answers => generateConfig(answers, 1, "draft"))
            .map(doc => ({ doc, base: baseOf(text) }))
            .mapLeft(findings => findings.map(finding => withFileLine(file, text, finding)))
    );
}

function withFileLine(file: string, text: string, finding: Finding): Finding {
    return withLine(file, text, { ...finding, place: finding.place.replace(/^questionnaire\./, "") });
}

function baseOf(text: string): number | undefined {
    const match = basePattern.exec(text);
    return match === null ? undefined : Number(match[1]);
}

function differences(before: ConfigDocument, after: ConfigDocument): readonly ConfigDifference[] {
    return diffConfigs(withoutAnswers(before), withoutAnswers(after));
}

/** Removes the answers and their traces, because the generated values show what changes. */
function withoutAnswers(doc: ConfigDocument): ConfigDocument {
    return { ...doc, answers: {}, why: {} };
}

function printDifferences(found: readonly ConfigDifference[], doc: ConfigDocument, isJson: boolean): void {
    if (found.length === 0 && !isJson) {
        console.log("Nothing changes.");
        return;
    }
    const rows = found.map(difference => ({ ...difference, answer: answerBehind(doc, difference.path) }));
    if (isJson) {
        printJson(rows);
        return;
    }
    printRows(rows, ["path", "before", "after", "answer"], false);
}

/** Returns the answer that determines the value at `place`, or else the nearest part that contains it. */
export function answerBehind(doc: ConfigDocument, place: string): string | undefined {
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

function writeNewFile(file: string, text: string): void {
    if (existsSync(file)) {
        printFindings([{ place: file, read: "a file", allowed: "the name of a file that does not exist" }]);
        return;
    }
    writeFileSync(file, text);
    console.log(`Wrote ${file}.`);
}

async function withQuestionnaire(file: string, run: (read: QuestionnaireFile) => Promise<void>): Promise<void> {
    const read = readQuestionnaire(file);
    read.ifLeft(printFindings);
    await read.map(run).orDefault(Promise.resolve());
}

/** Calls `run` with the document in force, or prints why it cannot be read. */
export async function withDocument(
    connection: Connection,
    name: string,
    run: (host: OperatorHost, doc: ConfigDocument) => Promise<void>,
): Promise<void> {
    await withHosts(connection, async hosts => {
        const res = await askUntilAnswered(hosts, host => host.client.config<ConfigDocument>(name));
        res.ifLeft(found => printProblem(found));
        await res.map(doc => run(hosts[0]!, doc)).orDefault(Promise.resolve());
    });
}

async function readDocument(hosts: readonly OperatorHost[], name: string): Promise<ConfigDocument | undefined> {
    const res = await askUntilAnswered(hosts, host => host.client.config<ConfigDocument>(name));
    return res.toMaybe().extract();
}

/** Sends the request to the hosts in turn until one responds; unreachable hosts are skipped. */
async function askUntilAnswered<Answer>(
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
