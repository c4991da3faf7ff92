/** Makes an authority and certificates for 127.0.0.1 with the `openssl` program. */

import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const NEW_KEY = [
  "req",
  "-x509",
  "-newkey",
  "ec",
  "-pkeyopt",
  "ec_paramgen_curve:prime256v1",
  "-nodes",
];

/** A certificate and its key, as PEM texts and as files. */
export interface IssuedPair {
  readonly certificate: string;
  readonly certificatePath: string;
  readonly key: string;
  readonly keyPath: string;
}

export interface TestAuthority extends IssuedPair {
  /** Issues a certificate that is valid for 127.0.0.1. */
  issue(name: string): IssuedPair;
}

export function createTestAuthority(
  folder: string,
  name: string,
): TestAuthority {
  const pair = createPair({ folder, name, extra: [] });
  const { certificatePath, keyPath } = pair;
  const extra = [
    ...["-CA", certificatePath],
    ...["-CAkey", keyPath],
    ...["-addext", "subjectAltName=IP:127.0.0.1"],
    ...["-addext", "basicConstraints=CA:FALSE"],
  ];
  return {
    ...pair,
    issue: (leaf) => createPair({ folder, name: `${name}-${leaf}`, extra }),
  };
}

/** Runs `use` with a temporary folder, which is removed afterwards. */
export async function withTestFolder(
  use: (folder: string) => Promise<void>,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "certificates-"));
  try {
    await use(folder);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

interface PairOptions {
  readonly folder: string;
  readonly name: string;
  readonly extra: readonly string[];
}

function createPair({ folder, name, extra }: PairOptions): IssuedPair {
  const certificatePath = join(folder, `${name}.pem`);
  const keyPath = join(folder, `${name}.key`);
  const outputs = ["-keyout", keyPath, "-out", certificatePath];
  const subject = ["-subj", `/CN=${name}`, "-days", "1"];
  execFileSync("openssl", [...NEW_KEY, ...outputs, ...subject, ...extra], {
    stdio: ["ignore", "ignore", "pipe"],
  });
  return {
    certificate: readFileSync(certificatePath, "utf8"),
    certificatePath,
    key: readFileSync(keyPath, "utf8"),
    keyPath,
  };
}
