/** True while a process with this id exists and may be signalled by this one. */
export function isAlive(pid: number): boolean {
    try {
        process.kill(pid, 0);
        return true;
    }
    catch {
        return false;
    }
}
