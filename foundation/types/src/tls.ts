/** Sources of a process's keys and certificates. */

/** A PEM text, or the path of a file that contains it. */
export type PemSource =
  | { readonly kind: "file"; readonly path: string }
  | { readonly kind: "text"; readonly text: string };

export interface TlsSource {
  readonly certificate: PemSource;
  readonly key: PemSource;
  /** CA of the other side's certificates; if present, TLS is mutual. */
  readonly authority?: PemSource;
}
