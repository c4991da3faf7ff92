import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";

const MAIN = fileURLToPath(new URL("./main.js", import.meta.url));

function run(context: TestContext, args: readonly string[]) {
  const child = spawn(process.execPath, [MAIN, ...args]);
  context.after(() => child.kill("SIGKILL"));
  return child;
}

test("A stand-in prints its URL, answers calls and exits on SIGTERM", async (context) => {
  const child = run(context, ["--listen", "127.0.0.1:0", "--work-ms", "1"]);
  const [line] = await once(child.stdout, "data");
  const { listening } = JSON.parse(String(line));
  const answer = await fetch(`${listening}/parts/3`);
  assert.equal((await answer.json() as { path: string }).path, "/parts/3");
  child.kill("SIGTERM");
  assert.deepEqual(await once(child, "exit"), [0, null]);
});

test("An unknown flag makes a stand-in exit with status 2", async (context) => {
  const child = run(context, ["--work", "1"]);
  assert.deepEqual(await once(child, "exit"), [2, null]);
});
