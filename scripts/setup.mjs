// Installs the packages of the lock file when they are missing or older than the lock file.
import { spawnSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const lockFile = "package-lock.json";
const installedLockFile = "node_modules/.package-lock.json";

function isInstallCurrent() {
    return existsSync(installedLockFile) && statSync(installedLockFile).mtimeMs >= statSync(lockFile).mtimeMs;
}

if (!isInstallCurrent()) {
    console.log("Installing packages.");
    const res = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], { stdio: "inherit" });
    process.exit(res.status ?? 1);
}
