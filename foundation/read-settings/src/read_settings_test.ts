import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import {
  createTarget,
  deriveUrl,
  readAgentSettings,
  readDaemonSettings,
  readEntrySettings,
} from "./mod.ts";

const SECRET = "a-shared-secret-of-tests";
const ENTRY_ARGS = [
  "--role=entry",
  "--name=e1",
  "--data-centre=kochi-1",
  "--platform-url=http://127.0.0.1:9000/",
  `--peer-secret=${SECRET}`,
];
const AGENT_ENVIRONMENT = {
  DANDELIONBANK_ROLE: "agent",
  DANDELIONBANK_NAME: "t1",
  DANDELIONBANK_DATA_CENTRE: "bekasi",
  DANDELIONBANK_TARGET_KIND: "engine",
  DANDELIONBANK_TARGET_URL: "http://127.0.0.1:9100",
  DANDELIONBANK_POOL: "drafting",
  DANDELIONBANK_PLATFORM_URL: "http://127.0.0.1:9000",
  DANDELIONBANK_PEER_SECRET: SECRET,
};
const RANK_ENVIRONMENT = {
  ...AGENT_ENVIRONMENT,
  DANDELIONBANK_TARGET_KIND: "rank",
  DANDELIONBANK_GROUP: "g1",
  DANDELIONBANK_RANK: "3",
  DANDELIONBANK_GROUP_SIZE: "4",
};

test("An entry's settings come from flags, variables and defaults", async () => {
  const result = await readEntrySettings({
    args: [...ENTRY_ARGS, "--caller-listen", "[::1]:0", "--log-level", "debug"],
    environment: {
      DANDELIONBANK_LOG_LEVEL: "error",
      DANDELIONBANK_PEER_LISTEN: "10.0.0.4:7000",
      DANDELIONBANK_POOL: "a variable of the other role",
      PATH: "/bin",
    },
  });
  assert.ok(result.kind === "ok");
  assert.deepEqual(result.settings.callerListen, { host: "::1", port: 0 });
  assert.deepEqual(result.settings.peerListen, {
    host: "10.0.0.4",
    port: 7000,
  });
  assert.equal(result.settings.platformUrl, "http://127.0.0.1:9000");
  assert.equal(result.settings.platformTimeoutMs, 2_000);
  assert.equal(result.settings.logLevel, "debug");
  assert.equal(result.settings.callerUrl, undefined);
  assert.equal(result.settings.callerTls, undefined);
  assert.equal(result.settings.peerSecret, SECRET);
});

test("An agent of a rank can be configured by environment variables alone", async () => {
  const result = await readDaemonSettings({
    args: [],
    environment: RANK_ENVIRONMENT,
  });
  assert.ok(result.kind === "ok" && result.settings.role === "agent");
  assert.deepEqual(createTarget(result.settings), {
    name: "t1",
    kind: "rank",
    pool: "drafting",
    dataCentre: "bekasi",
    place: { group: "g1", rank: 3, groupSize: 4 },
  });
  assert.equal(result.settings.targetChecksFencing, false);
  assert.equal(result.settings.keyTableEntries, 20_000);
});

test("TLS sources are read from files or from texts", async () => {
  const result = await readEntrySettings({
    args: [...ENTRY_ARGS, "--peer-tls-cert-file=c.pem", "--peer-tls-ca=CA"],
    environment: { DANDELIONBANK_PEER_TLS_KEY: "KEY" },
  });
  assert.ok(result.kind === "ok");
  assert.deepEqual(result.settings.peerTls, {
    certificate: { kind: "file", path: "c.pem" },
    key: { kind: "text", text: "KEY" },
    authority: { kind: "text", text: "CA" },
  });
});

test("The shared secret can be read from a file", async () => {
  const folder = mkdtempSync(join(tmpdir(), "settings-"));
  const path = join(folder, "secret");
  writeFileSync(path, `${SECRET}\n`);
  const args = [...ENTRY_ARGS.slice(0, 4), `--peer-secret-file=${path}`];
  const result = await readEntrySettings({ args, environment: {} });
  rmSync(folder, { recursive: true });
  assert.ok(result.kind === "ok");
  assert.equal(result.settings.peerSecret, SECRET);
});

interface InvalidSettings {
  readonly args?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
  readonly problems: readonly string[];
}

const INVALID_ENTRY_SETTINGS: readonly InvalidSettings[] = [
  {
    args: [],
    problems: [
      "--role or DANDELIONBANK_ROLE: found nothing, expected entry",
      "--name or DANDELIONBANK_NAME: found nothing, expected a name of 1 to 127 letters, digits, dots or dashes",
      "--data-centre or DANDELIONBANK_DATA_CENTRE: found nothing, expected a name of 1 to 127 letters, digits, dots or dashes",
      "--platform-url or DANDELIONBANK_PLATFORM_URL: found nothing, expected a URL such as http://127.0.0.1:8080",
      "--peer-secret or DANDELIONBANK_PEER_SECRET: found nothing, expected it or --peer-secret-file",
    ],
  },
  {
    args: [...ENTRY_ARGS, "--name=e2", "--nmae=e1", "stray", "--rank=1"],
    problems: [
      "stray: found a positional argument, expected flags only",
      "--name: found 2 times, expected once",
      "--nmae: found an unknown flag, see --help",
      "--rank: found an unknown flag, see --help",
      "--name or DANDELIONBANK_NAME: found nothing, expected a name of 1 to 127 letters, digits, dots or dashes",
    ],
  },
  {
    args: [...ENTRY_ARGS, "--log-level=loud", "--caller-listen=:80"],
    environment: {
      DANDELIONBANK_PLATFORM_TIMEOUT_MS: "2s",
      DANDELIONBANK_PEER_LISTEN: "h:65536",
      DANDELIONBANK_CALER_URL: "http://h",
    },
    problems: [
      "DANDELIONBANK_CALER_URL: found an unknown variable, see --help",
      '--caller-listen: found ":80", expected an address such as 127.0.0.1:8080 or [::1]:8080',
      'DANDELIONBANK_PEER_LISTEN: found "h:65536", expected an address such as 127.0.0.1:8080 or [::1]:8080',
      'DANDELIONBANK_PLATFORM_TIMEOUT_MS: found "2s", expected a whole number from 1 to 600000',
      '--log-level: found "loud", expected debug, info, warn, error',
    ],
  },
  {
    args: [...ENTRY_ARGS.slice(0, 4), "--peer-secret=short"],
    problems: [
      "--peer-secret: found a secret of 5 characters, expected a text of at least 16 characters",
    ],
  },
  {
    args: [...ENTRY_ARGS, "--peer-secret-file=x"],
    problems: ["--peer-secret: found --peer-secret-file too, expected one"],
  },
  {
    args: [...ENTRY_ARGS.slice(0, 4), "--peer-secret-file=not/there"],
    problems: [
      '--peer-secret-file: found ENOENT on reading "not/there", expected a readable file',
    ],
  },
  {
    args: [...ENTRY_ARGS, "--caller-tls-key=K", "--peer-tls-cert=C"],
    problems: [
      "--caller-tls-cert or --caller-tls-cert-file: found nothing, expected it with --caller-tls-key",
      "--peer-tls-key or --peer-tls-key-file: found nothing, expected it with --peer-tls-cert",
      "--peer-tls-ca or --peer-tls-ca-file: found nothing, expected it with --peer-tls-cert",
    ],
  },
  {
    args: [
      ...ENTRY_ARGS,
      "--caller-tls-key=K",
      "--caller-tls-cert=C",
      "--caller-tls-cert-file=c",
      "--caller-url=http://h",
      "--peer-listen=0.0.0.0:1",
    ],
    problems: [
      "--caller-tls-cert: found --caller-tls-cert-file too, expected one",
      '--caller-url: found "http://h", expected an https URL',
      "--peer-url: found nothing, expected a URL, since --peer-listen is a wildcard address",
    ],
  },
];

for (
  const { args = [], environment = {}, problems } of INVALID_ENTRY_SETTINGS
) {
  test(`All problems of an entry's settings are reported: ${problems[0]}`, async () => {
    const result = await readEntrySettings({ args, environment });
    assert.deepEqual(result, { kind: "invalid", problems });
  });
}

const INVALID_AGENT_SETTINGS: readonly InvalidSettings[] = [
  {
    environment: { ...AGENT_ENVIRONMENT, DANDELIONBANK_TARGET_KIND: "rank" },
    problems: [
      "--group: found nothing, expected it with --target-kind rank",
      "--rank: found nothing, expected it with --target-kind rank",
      "--group-size: found nothing, expected it with --target-kind rank",
    ],
  },
  {
    environment: { ...RANK_ENVIRONMENT, DANDELIONBANK_RANK: "4" },
    problems: [
      "--rank: found 4, expected a number below --group-size, which is 4",
    ],
  },
  {
    environment: { ...RANK_ENVIRONMENT, DANDELIONBANK_RANK: "-1" },
    problems: [
      'DANDELIONBANK_RANK: found "-1", expected a whole number from 0 to 65535',
    ],
  },
  {
    environment: AGENT_ENVIRONMENT,
    args: ["--group", "g1", "--target-checks-fencing", "yes"],
    problems: [
      '--target-checks-fencing: found "yes", expected true or false',
      "--group: found g1, expected it with --target-kind rank only",
    ],
  },
];

for (
  const { args = [], environment = {}, problems } of INVALID_AGENT_SETTINGS
) {
  test(`All problems of an agent's settings are reported: ${problems[0]}`, async () => {
    const result = await readAgentSettings({ args, environment });
    assert.deepEqual(result, { kind: "invalid", problems });
  });
}

test("A daemon without a valid role reports the valid ones", async () => {
  for (
    const [args, found] of [[[], "nothing"], [["--role=x"], '"x"']] as const
  ) {
    const result = await readDaemonSettings({ args, environment: {} });
    const problem =
      `--role or DANDELIONBANK_ROLE: found ${found}, expected entry or agent`;
    assert.deepEqual(result, { kind: "invalid", problems: [problem] });
  }
});

test("Help lists flags and variables, and --version works despite invalid settings", async () => {
  const help = await readDaemonSettings({ args: ["--help"], environment: {} });
  assert.ok(help.kind === "help");
  assert.match(help.text, /--caller-listen .*\[DANDELIONBANK_CALLER_LISTEN\]/);
  assert.match(help.text, /--key-retention-ms .*600000 ms/);
  const args = ["--role=agent", "--version", "--nonsense"];
  const version = await readDaemonSettings({ args, environment: {} });
  assert.deepEqual(version, { kind: "version" });
});

test("A URL is derived from a bound address", () => {
  const bound = { host: "::1", port: 80, isTls: true };
  assert.equal(deriveUrl(bound), "https://[::1]:80");
  assert.equal(
    deriveUrl({ host: "127.0.0.1", port: 8080, isTls: false }),
    "http://127.0.0.1:8080",
  );
});
