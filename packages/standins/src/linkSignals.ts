/** A signal that is aborted with any of several others, until it is released. */
export interface LinkedSignal {
  readonly signal: AbortSignal
  /** Aborts this signal only, not its sources. */
  abort (reason?: unknown): void
  /** Removes the listeners on the sources; call it once the work has ended. */
  release (): void
}

/**
 * Combines several signals like `AbortSignal.any`, at a lower cost per call, which matters with many short calls.
 *
 * @example
 * const linked = linkSignals([caller, timeout])
 * linked.release()
 */
export const linkSignals = (sources: readonly AbortSignal[]): LinkedSignal => {
  const linked = new AbortController()
  const links = sources.map((source) => ({ source, follow: () => linked.abort(source.reason) }))
  for (const { source, follow } of links) {
    if (source.aborted) follow()
    else source.addEventListener('abort', follow, { once: true })
  }
  const release = (): void => { for (const { source, follow } of links) source.removeEventListener('abort', follow) }
  return { signal: linked.signal, abort: (reason) => linked.abort(reason), release }
}
