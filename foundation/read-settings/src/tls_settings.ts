/** Combines the TLS settings towards callers or peers, and checks them together. */

import type { PemSource, TlsSource } from "@dandelionbank/types";
import { toFlagName } from "./definition.ts";

type PemPart = "Cert" | "Key" | "Ca";
type PemName<Prefix extends string> = `${Prefix}${PemPart}${"File" | ""}`;

/** Settings without those that are combined into a `TlsSource`. */
export type WithoutPem<Values> = Omit<
  Values,
  Extract<keyof Values, PemName<"callerTls" | "peerTls">>
>;

export interface TlsSettings {
  readonly source: TlsSource | undefined;
  readonly problems: readonly string[];
}

type PemValues<Prefix extends string> = {
  readonly [Name in PemName<Prefix>]?: string | undefined;
};

/**
 * Resolves the TLS source of one side. Certificate and key are required together;
 * towards peers, a CA is required as well.
 */
export function resolveTlsSource<Prefix extends "callerTls" | "peerTls">(
  prefix: Prefix,
  values: PemValues<Prefix>,
): TlsSettings {
  const texts: Readonly<Record<string, string | undefined>> = values;
  const certificate = resolvePem(`${prefix}Cert`, texts);
  const key = resolvePem(`${prefix}Key`, texts);
  const authority = resolvePem(`${prefix}Ca`, texts);
  const required = prefix === "peerTls"
    ? [certificate, key, authority]
    : [certificate, key];
  const problems = [
    ...[certificate, key, authority].flatMap((pem) => pem.problems),
    ...describeMissing(required),
  ];
  if (!certificate.source || !key.source) {
    return { source: undefined, problems };
  }
  const source = {
    certificate: certificate.source,
    key: key.source,
    ...(authority.source && { authority: authority.source }),
  };
  return { source, problems };
}

interface PemSetting {
  readonly name: string;
  readonly source: PemSource | undefined;
  readonly problems: readonly string[];
}

function resolvePem(
  name: string,
  texts: Readonly<Record<string, string | undefined>>,
): PemSetting {
  const path = texts[`${name}File`];
  const text = texts[name];
  const flag = `--${toFlagName(name)}`;
  const problems = path !== undefined && text !== undefined
    ? [`${flag}: found ${flag}-file too, expected one`]
    : [];
  if (path !== undefined) {
    return { name, source: { kind: "file", path }, problems };
  }
  if (text !== undefined) {
    return { name, source: { kind: "text", text }, problems };
  }
  return { name, source: undefined, problems };
}

/** Returns one problem for each missing setting if any of them is present. */
function describeMissing(required: readonly PemSetting[]): readonly string[] {
  const present = required.find((pem) => pem.source !== undefined);
  if (present === undefined) return [];
  return required.filter((pem) => pem.source === undefined).map((pem) => {
    const flag = `--${toFlagName(pem.name)}`;
    return `${flag} or ${flag}-file: found nothing, expected it with --${
      toFlagName(present.name)
    }`;
  });
}
