/** Reads PEM texts, and detects whether their files have changed. */

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

/** Returns a text that differs whenever a file has been written or replaced. */
export async function readSignature(source: TlsSource): Promise<string> {
  const paths = Object.values(source).flatMap((pem: PemSource) =>
    pem.kind === "file" ? [pem.path] : []
  );
  const signatures = await Promise.all(paths.map(readFileSignature));
  return signatures.join(";");
}

/** Names a source for logs and errors, without disclosing its content. */
export function describeSource(pem: PemSource): string {
  return pem.kind === "file" ? pem.path : "(text of a setting)";
}

/**
 * Reads a PEM text. Environment variables often hold line feeds as the two
 * characters `\n`, so these are converted.
 */
async function readPem(pem: PemSource): Promise<string> {
  if (pem.kind === "text") return pem.text.replaceAll("\\n", "\n");
  try {
    return await readFile(pem.path, "utf8");
  } catch (cause) {
    throw createError("Cannot read a PEM file", {
      code: "DANDELIONBANK_TLS_UNREADABLE",
      step: "load TLS",
      peer: pem.path,
      hint: "Check the path and the permissions of the file",
      cause,
    });
  }
}

async function readFileSignature(path: string): Promise<string> {
  const stats = await stat(path).catch(() => undefined);
  if (stats === undefined) return "absent";
  return `${stats.ino}:${stats.size}:${stats.mtimeMs}`;
}
