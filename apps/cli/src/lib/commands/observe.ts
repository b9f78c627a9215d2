/** Commands that show the state of the hosts: status, hosts, targets, steps and dump. */

import { type Problem } from "@tamarackpath/core";
import { type Either } from "purify-ts";
import { type Connection, type OperatorHost } from "../Connection.js";
import { printFindings, printJson, printProblem, printRows, type Row } from "../output.js";

interface HostDump {
    readonly host: string;
    readonly zone: string;
    readonly targets: readonly Row[];
    readonly steps: readonly Row[];
}

interface HostStatus {
    readonly host: string;
    readonly zone: string;
    readonly ready: boolean;
    readonly config: readonly { readonly name: string; readonly revision: number; readonly since: number; }[];
    readonly members: readonly string[];
    readonly inFlight: number;
    readonly waiting: number;
}

/** Calls `read` for every host; failures are printed and left out of the result. */
async function readFromHosts<Answer>(
    hosts: readonly OperatorHost[],
    read: (host: OperatorHost) => Promise<Either<Problem, Answer>>,
): Promise<readonly Answer[]> {
    const answers = await Promise.all(hosts.map(async host => ({ host, answer: await read(host) })));
    answers.forEach(({ host, answer }) => answer.ifLeft(found => printProblem(found, host.url)));
    return answers.flatMap(({ answer }) => answer.toMaybe().toList());
}

function readStatuses(hosts: readonly OperatorHost[]): Promise<readonly HostStatus[]> {
    return readFromHosts(hosts, ({ client }) => client.status<HostStatus>());
}

function readDumps(hosts: readonly OperatorHost[]): Promise<readonly HostDump[]> {
    return readFromHosts(hosts, ({ client }) => client.dump<HostDump>());
}

/** Prints one line for each host: readiness, revisions in force, and amount of work. */
export async function showStatus(connection: Connection, isJson: boolean): Promise<void> {
    await withHosts(connection, async hosts => {
        const rows = (await readStatuses(hosts)).map(status => ({
            ...status,
            config: status.config
                .map(({ name, revision, since }) => `${name} r${revision} since ${new Date(since).toISOString()}`)
                .join(", "),
            members: status.members.length,
        }));
        printRows(rows, ["host", "zone", "ready", "members", "inFlight", "waiting", "config"], isJson);
    });
}

/** Prints the live hosts in each host's view. */
export async function showHosts(connection: Connection, isJson: boolean): Promise<void> {
    await withHosts(connection, async hosts => {
        const rows = (await readStatuses(hosts)).flatMap(status =>
            status.members.map(member => ({ zone: status.zone, host: member, seenBy: status.host }))
        );
        printRows(rows, ["zone", "host", "seenBy"], isJson);
    });
}

/** Prints every host's view of its targets. */
export async function showTargets(connection: Connection, isJson: boolean): Promise<void> {
    await withHosts(connection, async hosts => {
        const rows = (await readDumps(hosts)).flatMap(dump =>
            dump.targets.map(view => ({ ...view, seenBy: dump.host }))
        );
        printRows(
            rows,
            [
                "seenBy",
                "target",
                "kind",
                "zone",
                "reachable",
                "leaving",
                "inFlight",
                "slots",
                "version",
                "versionWhole",
            ],
            isJson,
        );
    });
}

/** Prints the steps and their owners. */
export async function showSteps(connection: Connection, isJson: boolean): Promise<void> {
    await withHosts(connection, async hosts => {
        const rows = (await readDumps(hosts)).flatMap(dump => dump.steps.map(step => ({ ...step, owner: dump.host })));
        printRows(rows, ["step", "owner", "samples", "counts", "deadline", "cancelled"], isJson);
    });
}

/** Prints the complete state of one host. */
export async function dumpHost(connection: Connection, name: string): Promise<void> {
    await withHosts(connection, async hosts => {
        for (const host of hosts) {
            const status = await host.client.status<HostStatus>();
            if (host.url === name || status.map(found => found.host === name).orDefault(false)) {
                const dump = await host.client.dump();
                dump.ifLeft(found => printProblem(found, host.url));
                dump.ifRight(printJson);
                return;
            }
        }
        printFindings([{ place: "HOST", read: name, allowed: "the name or address of a listed host that answers" }]);
    });
}

/** Calls `run` with the operator hosts, or prints the errors of the connection file. */
export async function withHosts(
    connection: Connection,
    run: (hosts: readonly OperatorHost[]) => Promise<void>,
): Promise<void> {
    const hosts = connection.operators();
    hosts.ifLeft(printFindings);
    await hosts.map(run).orDefault(Promise.resolve());
}
