/** Creates a certificate authority and certificates for 127.0.0.1 with `openssl`. */

import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const NEW_KEY_ARGS = [
  "req",
  "-x509",
  "-newkey",
  "ec",
  "-pkeyopt",
  "ec_paramgen_curve:prime256v1",
  "-nodes",
];

/** A certificate and its private key, as PEM text and as files. */
export interface CertificatePair {
  readonly certificate: string;
  readonly certificatePath: string;
  readonly key: string;
  readonly keyPath: string;
}

export interface TestAuthority extends CertificatePair {
  /** Issues a certificate that is valid for 127.0.0.1. */
  issue(name: string): CertificatePair;
}

/** Creates a self-signed authority whose files are in `folder`. */
export function createTestAuthority(
  folder: string,
  name: string,
): TestAuthority {
  const pair = createPair({ folder, name, signingArgs: [] });
  const { certificatePath, keyPath } = pair;
  const signingArgs = [
    ...["-CA", certificatePath],
    ...["-CAkey", keyPath],
    ...["-addext", "subjectAltName=IP:127.0.0.1"],
    ...["-addext", "basicConstraints=CA:FALSE"],
  ];
  return {
    ...pair,
    issue: (leaf) =>
      createPair({ folder, name: `${name}-${leaf}`, signingArgs }),
  };
}

/** Runs `use` with a temporary folder and removes the folder afterwards. */
export async function withTempFolder(
  use: (folder: string) => Promise<void>,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "certificates-"));
  try {
    await use(folder);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

interface CreatePairOptions {
  readonly folder: string;
  readonly name: string;
  /** Arguments that sign with an authority; empty for a self-signed certificate. */
  readonly signingArgs: readonly string[];
}

function createPair(
  { folder, name, signingArgs }: CreatePairOptions,
): CertificatePair {
  const certificatePath = join(folder, `${name}.pem`);
  const keyPath = join(folder, `${name}.key`);
  const outputArgs = ["-keyout", keyPath, "-out", certificatePath];
  const subjectArgs = ["-subj", `/CN=${name}`, "-days", "1"];
  execFileSync("openssl", [
    ...NEW_KEY_ARGS,
    ...outputArgs,
    ...subjectArgs,
    ...signingArgs,
  ], {
    stdio: ["ignore", "ignore", "pipe"],
  });
  return {
    certificate: readFileSync(certificatePath, "utf8"),
    certificatePath,
    key: readFileSync(keyPath, "utf8"),
    keyPath,
  };
}
