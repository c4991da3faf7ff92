import assert from "node:assert/strict";
import { test } from "node:test";
import { runDaemon } from "./mod.ts";

interface Case {
  readonly name: string;
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  readonly exitCode: number;
  readonly output?: readonly RegExp[];
  readonly errors?: readonly RegExp[];
}

const CASES: readonly Case[] = [
  {
    name: "--version",
    args: ["--version"],
    exitCode: 0,
    output: [/^dandelionbankd \d/],
  },
  {
    name: "--help",
    args: ["--role=agent", "--help"],
    exitCode: 0,
    output: [/--target-url/, /DANDELIONBANK_TARGET_URL/],
  },
  { name: "no role", args: [], exitCode: 2, errors: [/--role/] },
  {
    name: "several wrong settings, all told at once",
    args: ["--role=entry", "--name=e 1", "--platform-url=nowhere", "--wrong=1"],
    exitCode: 2,
    errors: [/--name/, /--platform-url/, /--wrong/, /peer-secret/],
  },
  {
    name: "a wrong variable",
    args: ["--role=agent"],
    environment: { DANDELIONBANK_MAX_IN_FLIGHT: "many" },
    exitCode: 2,
    errors: [/MAX_IN_FLIGHT/, /--target-url/],
  },
];

for (const each of CASES) {
  test(`The daemon answers ${each.name} with exit code ${each.exitCode}`, async () => {
    const output = createStream();
    const errors = createStream();
    const exitCode = await runDaemon({
      args: each.args,
      environment: each.environment ?? {},
      output,
      errors,
    });
    assert.equal(exitCode, each.exitCode);
    for (const pattern of each.output ?? []) assert.match(output.text, pattern);
    for (const pattern of each.errors ?? []) assert.match(errors.text, pattern);
    assert.equal(errors.text === "", each.errors === undefined);
  });
}

interface TextStream {
  text: string;
  write(text: string): boolean;
}

function createStream(): TextStream {
  const stream: TextStream = {
    text: "",
    write: (text) => {
      stream.text += text;
      return true;
    },
  };
  return stream;
}
