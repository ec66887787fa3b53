import type { Json } from '@papayahill/common'
import { explainRequest, parseLines, formatExplanation } from '@papayahill/explain'
import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import { readTextFile } from '../readTextFile.js'
import { defineCommand } from '../types.js'

const STANDARD_INPUT = '/dev/stdin'

/** Explains from log lines alone how a request ended and why; no instance is contacted. */
export const explain = defineCommand({
  command: 'explain <id> [files..]',
  describe: 'Explain from log lines how a request ended and why',
  examples: [
    ['$0 explain 30978632c062091b a.jsonl b.jsonl', 'Log lines of two instances'],
    ['cat *.jsonl | $0 explain 30978632c062091b', 'Log lines from standard input']
  ],
  builder: (argv) => argv
    .positional('id', { type: 'string', demandOption: true, describe: 'The request id that the caller received' })
    .positional('files', { type: 'string', array: true, describe: 'Files with log lines; default: standard input' }),
  run: ({ id, files }, cli) => {
    const paths = files === undefined || files.length === 0 ? [STANDARD_INPUT] : files
    const explanation = explainRequest(parseLines(paths.map(readTextFile).join('\n')), id)
    if (explanation === undefined) throw new CliFailure(`no log line mentions request ${id}; give the log lines of all instances`, EXIT_CODES.refused)
    cli.printResult(explanation as unknown as Json, () => formatExplanation(explanation))
    return Promise.resolve(EXIT_CODES.done)
  }
})
