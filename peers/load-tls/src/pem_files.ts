/** Reads PEM texts, and tells whether the files that hold them have changed. */

import { createError } from "@dandelionbank/error";
import type { PemSource, TlsSource } from "@dandelionbank/types";
import { readFile, stat } from "node:fs/promises";

export interface PemTexts {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string | undefined;
}

export async function readPemTexts(source: TlsSource): Promise<PemTexts> {
  const { certificate, key, authority } = source;
  return {
    certificate: await readPem(certificate),
    key: await readPem(key),
    authority: authority && await readPem(authority),
  };
}

/** Changes whenever one of the files is written or replaced. */
export async function readSignature(source: TlsSource): Promise<string> {
  const paths = Object.values(source).flatMap((pem: PemSource) =>
    pem.kind === "file" ? [pem.path] : []
  );
  const parts = await Promise.all(paths.map(describeFile));
  return parts.join(";");
}

/** Names a source in logs and errors, without its content. */
export function nameSource(pem: PemSource): string {
  return pem.kind === "file" ? pem.path : "(text of a setting)";
}

/** A variable often holds line ends as a backslash and an n. */
async function readPem(pem: PemSource): Promise<string> {
  if (pem.kind === "text") return pem.text.replaceAll("\\n", "\n");
  try {
    return await readFile(pem.path, "utf8");
  } catch (cause) {
    throw createError("Cannot read a PEM file", {
      code: "DANDELIONBANK_TLS_UNREADABLE",
      step: "load TLS",
      peer: pem.path,
      hint: "Check the path and the rights of the file",
      cause,
    });
  }
}

async function describeFile(path: string): Promise<string> {
  const found = await stat(path).catch(() => undefined);
  if (found === undefined) return "absent";
  return `${found.ino}:${found.size}:${found.mtimeMs}`;
}
