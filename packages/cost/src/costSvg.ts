import { costLines } from './costLines.js'
import type { CostBreakdown, CostLine } from './costLines.js'
import { formatMoney } from './formatCost.js'
import type { CostRow } from './types.js'

/** Sizes in pixels. */
const WIDTH = 800
const NAMES_WIDTH = 240
const MONEY_WIDTH = 100
const LINE_HEIGHT = 22
const BAR_HEIGHT = 16
const BASELINE_OFFSET = 13
const NEEDED_COLOUR = '#3b6ea5'
const WASTE_COLOUR = '#d08a3c'

const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }
const escapeXml = (text: string): string => text.replace(/[&<>"]/g, (character) => ENTITIES[character]!)

const bar = (x: number, y: number, width: number, colour: string): string =>
  `<rect x="${x.toFixed(1)}" y="${y}" width="${width.toFixed(1)}" height="${BAR_HEIGHT}" fill="${colour}"/>`

const text = (x: number, y: number, content: string): string =>
  `<text x="${x.toFixed(1)}" y="${y + BASELINE_OFFSET}">${escapeXml(content)}</text>`

const lineOf = (line: CostLine, index: number, scale: number): string => {
  const y = (index + 1) * LINE_HEIGHT
  const needed = Math.max(0, line.needed) * scale
  const waste = Math.max(0, line.waste) * scale
  const money = formatMoney(line.needed + line.waste as typeof line.needed)
  return [
    text(0, y, `${line.first} ${line.second}`),
    bar(NAMES_WIDTH, y, needed, NEEDED_COLOUR),
    bar(NAMES_WIDTH + needed, y, waste, WASTE_COLOUR),
    text(NAMES_WIDTH + needed + waste + 4, y, money)
  ].join('')
}

/**
 * Cost by two dimensions as an SVG bar chart: needed work in blue, waste in orange.
 *
 * @example
 * await writeFile('cost.svg', costSvg(rows, ['workspace', 'stage']))
 */
export const costSvg = (rows: readonly CostRow[], by: CostBreakdown): string => {
  const lines = costLines(rows, by)
  const maxTotal = Math.max(1, ...lines.map(({ needed, waste }) => needed + waste))
  const scale = (WIDTH - NAMES_WIDTH - MONEY_WIDTH) / maxTotal
  const height = (lines.length + 1) * LINE_HEIGHT
  const title = text(0, 0, `Cost by ${by[0]} and ${by[1]}; waste in orange`)
  const body = lines.map((line, index) => lineOf(line, index, scale)).join('\n')
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="13">\n` +
    `${title}\n${body}\n</svg>\n`
}
