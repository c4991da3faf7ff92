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
    name: "several invalid settings, all reported at once",
    args: ["--role=entry", "--name=e 1", "--platform-url=nowhere", "--wrong=1"],
    exitCode: 2,
    errors: [/--name/, /--platform-url/, /--wrong/, /peer-secret/],
  },
  {
    name: "an invalid environment variable",
    args: ["--role=agent"],
    environment: { DANDELIONBANK_MAX_IN_FLIGHT: "many" },
    exitCode: 2,
    errors: [/MAX_IN_FLIGHT/, /--target-url/],
  },
];

for (const testCase of CASES) {
  test(`The daemon answers ${testCase.name} with exit code ${testCase.exitCode}`, async () => {
    const output = createStream();
    const errors = createStream();
    const exitCode = await runDaemon({
      args: testCase.args,
      environment: testCase.environment ?? {},
      output,
      errors,
    });
    assert.equal(exitCode, testCase.exitCode);
    for (const pattern of testCase.output ?? []) {
      assert.match(output.text, pattern);
    }
    for (const pattern of testCase.errors ?? []) {
      assert.match(errors.text, pattern);
    }
    assert.equal(errors.text === "", testCase.errors === undefined);
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
